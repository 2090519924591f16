/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "control/tests/fakedisk.h"
#include "control/tests/testbundles.h"

#include <boost/random/mersenne_twister.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace saltvane::control::test {

struct FakeClusterOptions {
    uint64_t seed = 1;
    size_t hosts = 3;
    Duration minDelay = 1ms;
    Duration maxDelay = 10ms; ///< A range wider than the send interval reorders messages.
    double loss = 0;
    double duplication = 0;
    Duration maxSyncDelay = 4ms;
    uint32_t entriesPerSnapshot = 4096;
    uint32_t snapshotChunkBytes = 64 * 1024;
    bool isMembershipOpen = false;
};

/// One control host of a FakeCluster.
struct FakeHost {
    HostId id;
    std::unique_ptr<FakeDisk> disk;
    std::unique_ptr<IControlReplica> replica; ///< Null while the process is down.
    Incarnation incarnation;
    double clockRate = 1; ///< Speed of the monotonic clock. Leases are only safe at 1.
    bool isSuspended = false;
    model::Counters counters;
    std::optional<StorageWrite> writing; ///< Write in progress.
    std::map<SubmissionId, Result<BundleRecord, ControlError>> answers;
    std::vector<model::OutgoingMessage> toHosts; ///< Messages to hosts outside of the cluster: replies to claims.
};

/// Control replicas with a simulated network and disks in virtual time. Deterministic for a given seed.
class FakeCluster {
public:
    explicit FakeCluster(const FakeClusterOptions& options);

    void run(Duration duration);
    /// False if the condition did not become true within `limit`.
    [[nodiscard]] bool runUntil(const std::function<bool()>& condition, Duration limit = 30s);

    [[nodiscard]] FakeHost& host(size_t number) { return *hosts_.at(number); }
    [[nodiscard]] size_t size() const { return hosts_.size(); }
    [[nodiscard]] Timestamp now() const { return now_; }
    [[nodiscard]] Timestamp localNow(const FakeHost& host) const;
    /// A leader that is current and not suspended; null if there is none.
    [[nodiscard]] FakeHost* leader();
    [[nodiscard]] size_t numberOf(const FakeHost& host) const;
    /// Members of the leader's committed configuration; 0 without a leader, or while some are not voters.
    [[nodiscard]] size_t voters();
    /// Whether the members of that configuration are the replicas on the present disks of all hosts.
    [[nodiscard]] bool hasAllVoters();
    /// Whether the leader's committed configuration contains the host.
    [[nodiscard]] bool isMember(size_t number);
    [[nodiscard]] bool isUp(size_t number) const { return hosts_[number]->replica != nullptr; }

    void start(size_t number);
    /// Stops the process. Of a write in progress only `steps` steps reach the disk, by default a random number.
    void crash(size_t number, std::optional<size_t> steps = {});
    void replaceDisk(size_t number);
    void cut(size_t left, size_t right);
    void cutOneWay(size_t from, size_t to) { cuts_.emplace(from, to); }
    void isolate(size_t number);
    void healLinks();
    /// Stops the process. Messages and timers that are due meanwhile are handled when it resumes.
    void suspend(size_t number) { hosts_[number]->isSuspended = true; }
    void resume(size_t number);

    SubmissionId submit(size_t number, Command command);
    /// Delivers a message from a host outside of the cluster.
    void deliver(size_t number, const model::Delivery& delivery);
    /// Submits at the leader and runs until the answer arrives; no value if it does not arrive in time.
    std::optional<Result<BundleRecord, ControlError>> submitAndWait(Command command);
    [[nodiscard]] uint64_t random(uint64_t below);

    std::function<void()> onEvent; ///< Called after each event.
    std::function<void(model::Message&)> onSend; ///< Called for each message; may modify it.
    Duration wallClockOffset {}; ///< Added to the wall clocks of all hosts.
    FakeClusterOptions options;

private:
    struct Event {
        size_t host = 0;
        Incarnation incarnation; ///< Of the receiver; a restart drops the event.
        std::function<void(FakeHost&)> handler;
    };

    void schedule(Timestamp time, Event event);
    void tick(size_t number);
    void pump(size_t number);
    void startWrite(size_t number, StorageWrite write);
    void post(size_t from, model::OutgoingMessage outgoing);
    [[nodiscard]] Duration delay();
    bool step(Timestamp end);

    boost::random::mt19937_64 random_;
    Timestamp now_ {100s};
    std::multimap<Timestamp, Event> events_;
    std::vector<Event> suspendedEvents_;
    std::vector<std::unique_ptr<FakeHost>> hosts_;
    std::set<std::pair<size_t, size_t>> cuts_;
    uint64_t lastReplica_ = 0;
};

} // namespace saltvane::control::test
