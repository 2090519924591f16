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

/// Registry hosts on a simulated network, in virtual time. Disks sync at once and lose nothing; messages take a fixed
/// time. The test acts as the gateways.
class RegistryCluster {
public:
    /// The first three hosts are the seeds of all.
    explicit RegistryCluster(size_t hosts);

    Duration messageDelay = 5ms; ///< One way, between hosts.
    /// The time that a link between two hosts is busy with a message; later messages queue behind it. Empty: zero.
    std::function<Duration(const model::Message&)> sendingTime;
    /// Handles what host `from` sends to a gateway. Empty: messages are stored for drainSentTo().
    std::function<void(size_t from, const model::OutgoingMessage&)> toGateway;
    std::function<void()> onStep; ///< After each step of virtual time.

    /// Gives each host this fraction of a core from now on: messages to a busy host wait. 0: work takes no time.
    void setProcessorShare(double share);
    /// The longest continuous busy period of any host.
    [[nodiscard]] Duration longestBusy() const;

    void run(Duration duration);
    [[nodiscard]] bool runUntil(const std::function<bool()>& condition, Duration limit = 20s);

    void start(size_t number, bool isFirstStart);
    void kill(size_t number);
    void wipeDisk(size_t number);
    /// A full disk refuses every write.
    void setDiskFull(size_t number, bool isFull) { hosts_.at(number).isDiskFull = isFull; }
    /// Adds and starts a host at a new address; returns its number.
    size_t addHost();
    /// Suspends the machine: it does nothing, and messages to it wait. Its clock includes that time when it resumes.
    void suspend(size_t number) { hosts_.at(number).suspendedSince = now_; }
    void resume(size_t number);
    /// Simulates clocks that stop while the machine is suspended, from the next wake() on.
    bool doClocksStopWhileSuspended = false;
    void isolate(size_t number) { isolated_.insert(number); }
    [[nodiscard]] bool isIsolated(size_t number) const { return isolated_.contains(number); }
    [[nodiscard]] bool isSuspended(size_t number) const { return hosts_.at(number).suspendedSince.has_value(); }
    void heal() { isolated_.clear(); }

    struct Answer {
        int status = 0;
        std::string body;
        std::vector<model::Header> headers;
    };
    /// None if the call isn't answered within `limit`.
    std::optional<Answer> call(size_t number, const std::string& method, const std::string& path,
        const std::string& body = {}, const std::string& planBase = {}, Duration limit = 2s);
    /// Sends only the first part of a call's body. False: the call was refused at once with a Retry-After header.
    [[nodiscard]] bool beginCall(size_t number, const std::string& method, const std::string& path,
        const std::string& part, uint64_t bodyLength);
    /// Sends this part of a call's body; then the caller closes its connection.
    void cutCall(size_t number, const std::string& method, const std::string& path, const std::string& part,
        uint64_t bodyLength, const std::string& planBase = {});
    /// POSTs without waiting for an answer.
    void post(size_t number, const std::string& path, const std::string& body);
    /// POSTs; takeAnswer() returns the answer once there is one.
    [[nodiscard]] requests::HttpHandle beginPost(size_t number, const std::string& path, const std::string& body)
    {
        return startCall(number, "POST", path, body, {});
    }
    [[nodiscard]] std::optional<Answer> takeAnswer(requests::HttpHandle handle);
    /// The host with this address for calls, as named in a redirect; none if there is none.
    [[nodiscard]] std::optional<size_t> numberOfUrl(const std::string& url) const;
    /// Waits for a leader and calls it.
    std::optional<Answer> order(const std::string& method, const std::string& path, const std::string& body = {},
        const std::string& planBase = {});

    /// A gateway's heartbeat, sent to one host.
    void gatewayHeartbeat(size_t number, const std::string& host, const std::string& zone, const std::string& region,
        model::HostState state = model::HostState::Serving, bool isIsolated = false);
    void linkUpTo(size_t number, const HostId& gateway, Incarnation incarnation);
    void linkDownTo(size_t number, const HostId& gateway);
    void deliverFromGateway(size_t number, const HostId& gateway, Incarnation incarnation, model::Message message);
    /// The total time that links were busy with messages to this host.
    [[nodiscard]] Duration sendingTimeTo(size_t number) { return sendingTimeTo_[number]; }
    /// Messages sent to this gateway since the last call.
    [[nodiscard]] std::vector<model::Message> drainSentTo(const std::string& host);

    [[nodiscard]] std::optional<size_t> leader() const;
    /// The phase of the service's rollout as known to a current host; empty if there is none.
    [[nodiscard]] std::string rolloutPhaseAt(size_t number, const ServiceName& service) const;
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
        std::set<HostId> wantedLinks;
        std::optional<Timestamp> suspendedSince;
        Duration clockLag {}; ///< Suspended time that its clock doesn't include.
        std::deque<std::function<void()>> deferredEvents; ///< From gateways and callers, until the host is available.
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
    /// Suspended, or busy with earlier work.
    [[nodiscard]] bool isUnavailable(const Host& host) const
    {
        return host.suspendedSince || host.processor.isBusy(now_);
    }
    /// Runs the event now, or in order as soon as the host is available.
    void deferOrRun(size_t number, std::function<void()> event);
    void runDeferred(size_t number);
    void handle(size_t number, host::Event event);
    void processActions(size_t number);
    /// Returns the resulting event.
    [[nodiscard]] static host::Event write(Host& host, const control::StorageWrite& write);
    void sendMessage(size_t from, const model::OutgoingMessage& outgoing);
    void deliver();
    void connect();

    Timestamp now_ {100s};
    std::vector<Host> hosts_;
    std::vector<InFlight> inFlight_;
    std::set<std::pair<size_t, size_t>> links_;
    std::map<std::pair<size_t, size_t>, Timestamp> busyUntil_; ///< Links, by sender and receiver.
    std::map<size_t, Duration> sendingTimeTo_;
    std::set<size_t> isolated_;
    std::map<HostId, std::vector<model::Message>> sentToGateways_;
    std::map<requests::HttpHandle, requests::HttpRespond> responses_;
    std::vector<requests::HttpHandle> ignoredCalls_; ///< Calls whose answers are discarded.
    uint64_t lastHandle_ = 0;
    uint64_t lastIncarnation_ = 0;
    uint64_t lastReplica_ = 0;
    uint64_t gatewaySequence_ = 0;
};

/// A plan with one route and one service.
[[nodiscard]] std::string planText(uint64_t version, const std::string& service = "quotes");
[[nodiscard]] std::string heartbeatText(uint64_t sequence, const std::string& state = "ready", int slowMs = 0);
/// Heartbeat of a target that reports its start time, which is its incarnation.
[[nodiscard]] std::string heartbeatOfStart(uint64_t startedMs, uint64_t sequence, const std::string& state = "ready");

} // namespace saltvane::registry::test
