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
#include <string>
#include <vector>

namespace saltvane::fleet::test {

struct FleetOptions {
    size_t registries = 6;
    size_t gateways = 6;
    double gatewayBytesPerSecond = 500'000; ///< Of a gateway's network link, inbound: 4 Mbit/s.
    double registryBytesPerSecond = 8'000'000; ///< Of a link between two registry hosts.
    /// What one sender may have on its way to a gateway before it waits for the gateway to take it.
    double windowBytes = 208 * 1024;
    Duration registryDelay = 35ms; ///< One way.
    Duration gatewayDelay = 5ms; ///< The same between a registry host and a gateway.
    double registryProcessorShare = 0; ///< Of a core; 0: work takes no time.
    double gatewayProcessorShare = 0;
    /// Bytes that may wait at one registry host for gateways to take them; more end it, and it starts again. 0: any.
    uint64_t registryMemory = 0;
};

/// Registry hosts and gateways as they run, over a network in virtual time. What all registry hosts send to one gateway
/// waits in one queue before that gateway's network link, each sender's window of it; the rest waits at the senders.
class Fleet {
public:
    explicit Fleet(const FleetOptions& options = {});

    /// Takes what a gateway does to callers and targets, in place of `ask`. Empty: nobody looks.
    std::function<void(size_t gateway, requests::Action& action)> onAction;
    std::function<void()> onStep; ///< After each step of virtual time.

    [[nodiscard]] registry::test::RegistryCluster& registries() { return registries_; }
    [[nodiscard]] size_t gateways() const { return gateways_.size(); }
    void run(Duration duration) { registries_.run(duration); }
    [[nodiscard]] bool runUntil(const std::function<bool()>& condition, Duration limit);

    void killRegistry(size_t registry);
    void startRegistry(size_t registry);
    /// Its process ends, and another one begins with nothing.
    void restartGateway(size_t gateway);
    /// Its machine sleeps for so long: it does nothing, and what is sent to it waits.
    void suspendGateway(size_t gateway, Duration duration);
    /// Of a caller or a target.
    void handle(size_t gateway, host::Event event);
    [[nodiscard]] uint64_t planAt(size_t gateway) const;

    /// All links between gateways and registry hosts pass nothing any more, while new ones would work. They are
    /// replaced after as long as the product takes.
    void silenceGateways();
    /// The same of one gateway, for so long.
    void cutOffGateway(size_t gateway, Duration duration);

    /// Puts a plan by way of the leader, again until it is acknowledged. False: not within 10 s.
    [[nodiscard]] bool putPlan(uint64_t base, const std::string& plan);
    [[nodiscard]] bool isPlanEverywhere(uint64_t version) const;

    /// What a gateway does with a request at once: sends it to a target, or answers with a status. Neither: it is busy.
    struct Outcome {
        std::optional<TargetId> target;
        int status = 0;
    };
    [[nodiscard]] Outcome ask(size_t gateway, const std::string& path, const std::string& object);
    /// Target that the gateway sends a request about `object` to; none where it refuses.
    [[nodiscard]] std::optional<TargetId> targetFor(size_t gateway, const std::string& object);

    /// Bytes that registry hosts sent to this gateway so far.
    [[nodiscard]] uint64_t bytesSentTo(size_t gateway) const { return gateways_.at(gateway).bytesSent; }
    /// The most bytes that ever waited for one gateway's link.
    [[nodiscard]] uint64_t largestBacklog() const;
    /// The most bytes that ever waited at one registry host, for all gateways together.
    [[nodiscard]] uint64_t mostHeldByRegistry() const { return mostHeldByRegistry_; }
    /// Registry hosts that ended since they held too much.
    [[nodiscard]] uint64_t registriesEnded() const { return registriesEnded_; }
    /// Since the start, over all registry hosts: times that a host found itself without a leader.
    [[nodiscard]] uint64_t leadersLost() const { return leadersLost_; }
    /// The longest time that any gateway was busy without a pause.
    [[nodiscard]] Duration longestBusyGateway() const;

private:
    struct Frame {
        model::Message message;
        double unsent = 0; ///< Bytes.
        double undelivered = 0;
    };
    struct Sender {
        std::deque<Frame> frames; ///< In order; the first ones are partly in the network.
        double inNetwork = 0;
        double waiting = 0; ///< Bytes not yet delivered.
    };
    struct Packet {
        size_t registry = 0;
        double bytes = 0;
    };
    struct Late {
        Timestamp at;
        size_t registry = 0;
        model::Message message;
    };
    struct Gateway {
        HostId id;
        Incarnation incarnation;
        std::unique_ptr<host::IHostCore> core;
        std::map<size_t, Sender> senders; ///< By registry host.
        std::deque<Packet> network; ///< Before its link.
        double linkCredit = 0; ///< Bytes that its link may carry now.
        std::deque<Late> outbound;
        uint64_t bytesSent = 0;
        uint64_t largestBacklog = 0;
        std::optional<requests::TargetStart> lastStart;
        int lastStatus = 0;
        std::optional<Timestamp> silentUntil; ///< Its links are replaced then.
        std::optional<Timestamp> sleepsUntil;
        std::vector<host::Event> heldBack; ///< What callers and targets sent it while it slept or was busy.
        registry::test::VirtualProcessor processor;
    };

    void step();
    void stepGateway(Gateway& gateway);
    void noteLeader();
    void holdToMemory();
    void handle(Gateway& gateway, host::Event event);
    void startGateway(size_t number);
    void connect(Gateway& gateway, size_t registry);
    void replaceLinks(Gateway& gateway);
    void wake(Gateway& gateway);
    void fillNetwork(Gateway& gateway);
    void carryInbound(Gateway& gateway);
    void deliver(Gateway& gateway, const Packet& packet);
    void carryOutbound(Gateway& gateway);
    void gather(Gateway& gateway);
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
    uint64_t mostHeldByRegistry_ = 0;
    uint64_t registriesEnded_ = 0;
    std::map<size_t, Timestamp> startsAgainAt_; ///< Registry hosts that ended.
    uint64_t lastHandle_ = 0;
};

inline constexpr std::array<const char*, 4> FleetServices {"quotes", "files", "orders", "reports"};

/// A plan with these routes, by path prefix, at host prices.example.
[[nodiscard]] std::string planOf(uint64_t version, const std::map<std::string, std::string>& routes);

/// A plan of so many routes, which differ from each other in every name; a longer plan has the routes of a shorter one.
/// `weight`: of the second service on the last route.
[[nodiscard]] std::string largePlan(uint64_t version, size_t routes, uint32_t weight = 10);

} // namespace saltvane::fleet::test
