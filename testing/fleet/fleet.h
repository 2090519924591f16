/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/igateway.h"
#include "registry/tests/registrycluster.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace saltvane::fleet::test {

struct FleetOptions {
    size_t registries = 6;
    size_t gateways = 6;
    double gatewayBytesPerSecond = 500'000; ///< Inbound rate of a gateway's network link (4 Mbit/s).
    double registryBytesPerSecond = 8'000'000; ///< Rate of a link between two registry hosts.
    /// Bytes that one sender may have in flight to a gateway (its send window).
    double sendWindowBytes = 208 * 1024;
    Duration registryDelay = 35ms; ///< One-way delay between registry hosts.
    Duration gatewayDelay = 5ms; ///< One-way delay between a registry host and a gateway.
    double registryCpuFraction = 0; ///< Fraction of a core per registry host; 0: processing takes no time.
    double gatewayCpuFraction = 0; ///< Fraction of a core per gateway; 0: processing takes no time.
    /// Bytes that may be queued at one registry host for gateways; a host that exceeds them is killed and restarted.
    /// 0: no limit.
    uint64_t registryMemoryBytes = 0;
};

/// Registry hosts and gateways that run the production code over a simulated network in virtual time. All registry
/// hosts share one queue before a gateway's network link, each with at most its send window; further bytes wait at the
/// sender.
class Fleet {
public:
    explicit Fleet(const FleetOptions& options = {});

    /// Handles the actions of gateways towards callers and targets. While set, sendRequest() sees none of them.
    std::function<void(size_t gateway, requests::Action& action)> onAction;
    std::function<void()> onStep; ///< Called after each step of virtual time.

    [[nodiscard]] registry::test::RegistryCluster& registries() { return registries_; }
    [[nodiscard]] size_t gateways() const { return gateways_.size(); }
    void run(Duration duration) { registries_.run(duration); }
    [[nodiscard]] bool runUntil(const std::function<bool()>& condition, Duration limit);

    void killRegistry(size_t registry);
    void startRegistry(size_t registry);
    /// Kills the process of a gateway and starts a new one without any state.
    void restartGateway(size_t gateway);
    /// Suspends the machine of a gateway: it does nothing, and what is sent to it waits.
    void suspendGateway(size_t gateway, Duration duration);
    /// Delivers an event of a caller or a target.
    void handle(size_t gateway, host::Event event);
    /// Asks the gateway whether a dispatched request may still be sent, as before its first byte.
    [[nodiscard]] model::Reason recheck(size_t gateway, requests::DispatchId dispatch);
    /// The gateway that accepts callers at this address, if any.
    [[nodiscard]] std::optional<size_t> gatewayAt(const model::Address& frontAddress) const;
    /// Version of the plan in force at a gateway.
    [[nodiscard]] uint64_t planVersionAt(size_t gateway) const;

    /// All links between gateways and registry hosts stop passing data, while new ones would work. They are replaced
    /// after the time that the production code takes.
    void stallGatewayLinks();
    /// Stops all links of one gateway for `duration`.
    void cutOffGateway(size_t gateway, Duration duration);
    /// Stops the link between a gateway and a registry host for `duration`, or for longer if it is cut already.
    void cutLink(size_t gateway, size_t registry, Duration duration);
    [[nodiscard]] bool isLinkCut(size_t gateway, size_t registry) const;
    /// Loses the reports of targets and orders that registry hosts send to a gateway within `duration`, although its
    /// links stay up and deliver everything else.
    void loseReports(size_t gateway, Duration duration);

    /// Puts a plan through the leader and repeats that until it is acknowledged; false if that takes more than 10 s.
    [[nodiscard]] bool putPlan(uint64_t base, const std::string& plan);
    [[nodiscard]] bool isPlanInForceEverywhere(uint64_t version) const;

    /// What a gateway does with a request immediately: send it to a target or respond with a status; neither if it is
    /// busy.
    struct Outcome {
        std::optional<TargetId> target;
        model::Address address; ///< Of the target.
        int status = 0;
    };
    [[nodiscard]] Outcome sendRequest(size_t gateway, const std::string& path, const std::string& object);
    /// Target to which the gateway sends a request for `object`; none if it refuses the request.
    [[nodiscard]] std::optional<TargetId> targetFor(size_t gateway, const std::string& object);

    /// Bytes that all registry hosts have sent to this gateway so far.
    [[nodiscard]] uint64_t bytesSentTo(size_t gateway) const { return gateways_.at(gateway).bytesSent; }
    /// Maximum number of bytes that were ever queued for one gateway.
    [[nodiscard]] uint64_t maxBacklogBytes() const;
    /// Maximum number of bytes that were ever queued at one registry host, for all gateways together.
    [[nodiscard]] uint64_t maxRegistryBacklogBytes() const { return maxRegistryBacklogBytes_; }
    /// Number of times that a registry host was killed for exceeding its memory limit.
    [[nodiscard]] uint64_t registriesOutOfMemory() const { return registriesOutOfMemory_; }
    /// Number of times that the leader was lost since the start.
    [[nodiscard]] uint64_t leadersLost() const { return leadersLost_; }
    /// The longest time that any gateway was busy without interruption.
    [[nodiscard]] Duration longestGatewayBusyTime() const;

private:
    struct Frame {
        model::Message message;
        double unsentBytes = 0; ///< Bytes still at the sender.
        double undeliveredBytes = 0; ///< Bytes that the gateway has not received.
    };
    struct Sender {
        std::deque<Frame> frames; ///< In order of sending; the first ones are partly in flight.
        double inFlightBytes = 0;
        double backlogBytes = 0; ///< Bytes not yet delivered, in flight or not.
    };
    struct Packet {
        size_t registry = 0;
        double bytes = 0;
    };
    struct PendingMessage {
        Timestamp at;
        size_t registry = 0;
        model::Message message;
    };
    struct Gateway {
        HostId id;
        Incarnation incarnation;
        std::unique_ptr<host::IHostCore> core;
        std::map<size_t, Sender> senders; ///< By index of the registry host.
        std::deque<Packet> packets; ///< Packets in flight, queued before the gateway's link.
        double linkBudgetBytes = 0; ///< Bytes that the link may carry in this step.
        Timestamp losesReportsUntil {};
        std::deque<PendingMessage> outbound;
        uint64_t bytesSent = 0;
        uint64_t maxBacklogBytes = 0;
        std::optional<requests::TargetStart> lastStart;
        int lastStatus = 0;
        std::set<HostId> wantedLinks;
        std::set<size_t> linked; ///< Registry hosts to which a link is up.
        std::map<size_t, Timestamp> cutUntil; ///< Links that pass nothing until then and are replaced at that time.
        std::optional<Timestamp> suspendedUntil;
        /// Events of callers and targets that arrived while it was suspended or busy.
        std::vector<host::Event> deferredEvents;
        registry::test::VirtualProcessor processor;
    };

    void step();
    void stepGateway(Gateway& gateway);
    void updateLeader();
    void enforceMemoryLimit();
    void handle(Gateway& gateway, host::Event event);
    void startGateway(size_t number);
    void updateLinks(Gateway& gateway);
    void linkUp(Gateway& gateway, size_t registry);
    void linkDown(Gateway& gateway, size_t registry);
    static void dropPackets(Gateway& gateway, size_t registry);
    void resume(Gateway& gateway);
    void fillSendWindows(Gateway& gateway);
    void deliverInbound(Gateway& gateway);
    void deliver(Gateway& gateway, const Packet& packet);
    void deliverOutbound(Gateway& gateway);
    void dispatchActions(Gateway& gateway);
    [[nodiscard]] size_t numberOf(const Gateway& gateway) const
    {
        return static_cast<size_t>(&gateway - gateways_.data());
    }
    [[nodiscard]] Gateway* find(const HostId& id);

    FleetOptions options_;
    registry::test::RegistryCluster registries_;
    std::vector<Gateway> gateways_;
    std::optional<size_t> leader_;
    uint64_t leadersLost_ = 0;
    uint64_t maxRegistryBacklogBytes_ = 0;
    uint64_t registriesOutOfMemory_ = 0;
    std::map<size_t, Timestamp> restartsAt_; ///< Restart times of killed registry hosts.
    uint64_t lastHandle_ = 0;
};

inline constexpr std::array<const char*, 4> FleetServices {"quotes", "files", "orders", "reports"};

/// A plan with these routes (path prefix to service) at host prices.example.
[[nodiscard]] std::string makePlan(uint64_t version, const std::map<std::string, std::string>& routes);

/// A plan with the given number of routes, each with names of its own. A longer plan contains the routes of a shorter
/// one. `weight` is the weight of the second service of the last route.
[[nodiscard]] std::string makeLargePlan(uint64_t version, size_t routes, uint32_t weight = 10);

} // namespace saltvane::fleet::test
