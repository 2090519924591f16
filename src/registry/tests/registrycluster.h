/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "registry/iregistry.h"
#include "virtualprocessor.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace saltvane::registry::test {

/// Registry hosts over a network in virtual time. Disks sync at once and keep what was written; messages take a fixed
/// time. Gateways are played by the test.
class RegistryCluster {
public:
    /// The first three of the hosts are everyone's seeds.
    explicit RegistryCluster(size_t hosts);

    Duration messageDelay = 5ms; ///< Of all messages between hosts, one way.
    /// How long a link between two hosts takes to carry a message; its next message waits. Empty: no time.
    std::function<Duration(const model::Message&)> sendingTime;
    /// Takes what host `from` sends to a gateway. Empty: kept for takeSentTo.
    std::function<void(size_t from, const model::Outgoing&)> toGateway;
    std::function<void()> onStep; ///< After each step of virtual time.

    /// Of a core, for each host from now on: what is sent to a busy host waits. 0: work takes no time.
    void setProcessorShare(double share);
    /// The longest time that any host was busy without a pause.
    [[nodiscard]] Duration longestBusy() const;

    void run(Duration duration);
    [[nodiscard]] bool runUntil(const std::function<bool()>& condition, Duration limit = 20s);

    void start(size_t number, bool isFirstStart);
    void kill(size_t number);
    void wipeDisk(size_t number);
    /// Refuses every write, or has room again.
    void setDiskFull(size_t number, bool isFull) { hosts_.at(number).isDiskFull = isFull; }
    /// A further host, at an address of its own.
    size_t addHost();
    /// Its machine sleeps: it does nothing, and what is sent to it waits. Its clock has counted that time as it wakes.
    void suspend(size_t number) { hosts_.at(number).sleepsSince = now_; }
    void wake(size_t number);
    /// As with a clock that stands still while its machine sleeps, from the next wake on.
    bool doClocksStandStill = false;
    void isolate(size_t number) { isolated_.insert(number); }
    void heal() { isolated_.clear(); }

    /// Status and body of the answer to a call; none within `limit`.
    struct Answer {
        int status = 0;
        std::string body;
        std::vector<model::Header> headers;
    };
    std::optional<Answer> call(size_t number, const std::string& method, const std::string& path,
        const std::string& body = {}, const std::string& planBase = {}, Duration limit = 2s);
    /// The first part of a call's body; the rest doesn't come. False: it was refused at once, with when to return.
    [[nodiscard]] bool beginCall(size_t number, const std::string& method, const std::string& path,
        const std::string& part, uint64_t bodyLength);
    /// The same without waiting for an answer.
    void post(size_t number, const std::string& path, const std::string& body);
    /// At the leader.
    std::optional<Answer> order(const std::string& method, const std::string& path, const std::string& body = {},
        const std::string& planBase = {});

    /// A gateway's heartbeat, sent to one host.
    void gatewayHeartbeat(size_t number, const std::string& host, const std::string& zone, const std::string& region,
        model::HostState state = model::HostState::Serving);
    void linkUpTo(size_t number, const HostId& gateway, Incarnation incarnation);
    void linkDownTo(size_t number, const HostId& gateway);
    void deliverFromGateway(size_t number, const HostId& gateway, Incarnation incarnation, model::Message message);
    /// How long links were busy with messages to this host, all together.
    [[nodiscard]] Duration sendingTimeTo(size_t number) { return sendingTimeTo_[number]; }
    /// Messages that hosts sent to this gateway since the last call.
    [[nodiscard]] std::vector<model::Message> takeSentTo(const std::string& host);

    [[nodiscard]] std::optional<size_t> leader() const;
    [[nodiscard]] bool isRunning(size_t number) const { return hosts_.at(number).core != nullptr; }
    [[nodiscard]] host::HostStatus status(size_t number) const
    {
        return hosts_.at(number).core->status(clockOf(number));
    }
    [[nodiscard]] static HostId idOf(size_t number);
    [[nodiscard]] std::optional<size_t> numberOf(const HostId& host) const;
    [[nodiscard]] size_t votersAt(size_t number);
    [[nodiscard]] Timestamp now() const { return now_; }

private:
    struct Host {
        std::unique_ptr<host::IHostCore> core;
        Incarnation incarnation;
        control::RecoveredState disk;
        host::SoftState softState;
        bool isDiskFull = false;
        std::set<HostId> wanted;
        std::optional<Timestamp> sleepsSince;
        Duration clockLag {}; ///< Of sleeps that its clock has not counted.
        std::deque<std::function<void()>> heldBack; ///< What it hears from gateways and callers once it can.
        VirtualProcessor processor;
    };
    struct InFlight {
        Timestamp at;
        size_t from = 0;
        size_t to = 0;
        Incarnation fromIncarnation;
        model::Message message;
    };

    requests::HttpHandle startCall(size_t number, const std::string& method, const std::string& path,
        const std::string& body, const std::string& planBase);
    [[nodiscard]] Timestamp clockOf(size_t number) const { return now_ - hosts_.at(number).clockLag; }
    /// Asleep, or busy with what it heard before.
    [[nodiscard]] bool isAway(const Host& host) const { return host.sleepsSince || host.processor.isBusy(now_); }
    /// Now, or as soon as it wakes or has done what came before.
    void hear(size_t number, std::function<void()> event);
    void hearHeldBack(size_t number);
    void handle(size_t number, host::Event event);
    void pump(size_t number);
    /// What the host is told of it.
    [[nodiscard]] static host::Event write(Host& host, const control::StorageWrite& write);
    void carry(size_t from, const model::Outgoing& outgoing);
    void deliver();
    void connect();

    Timestamp now_ {100s};
    std::vector<Host> hosts_;
    std::vector<InFlight> inFlight_;
    std::set<std::pair<size_t, size_t>> links_;
    std::map<std::pair<size_t, size_t>, Timestamp> busyUntil_; ///< Of the links, by sender and receiver.
    std::map<size_t, Duration> sendingTimeTo_;
    std::set<size_t> isolated_;
    std::map<HostId, std::vector<model::Message>> sentToGateways_;
    std::map<requests::HttpHandle, requests::HttpRespond> responses_;
    std::vector<requests::HttpHandle> unread_; ///< Calls whose answers nobody waits for.
    uint64_t lastHandle_ = 0;
    uint64_t lastIncarnation_ = 0;
    uint64_t lastReplica_ = 0;
    uint64_t gatewaySequence_ = 0;
};

/// A plan with one route and one service.
[[nodiscard]] std::string planText(uint64_t version, const std::string& service = "quotes");
[[nodiscard]] std::string heartbeatText(uint64_t sequence, const std::string& state = "ready", int slowMs = 0);
/// The same of a target that tells its start.
[[nodiscard]] std::string heartbeatOfStart(uint64_t startedMs, uint64_t sequence, const std::string& state = "ready");

} // namespace saltvane::registry::test
