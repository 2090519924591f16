/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/tests/fakecluster.h"
#include "control/tests/invariantchecker.h"

#include <cstdint>
#include <set>
#include <string>

namespace saltvane::control::test {

/// Deliberate faults, to prove that the checks detect them.
enum class Fault {
    None,
    UnsyncedDisk, ///< Disks acknowledge writes without storing them.
    ReusedIdentity, ///< A replacement disk keeps the old replica id.
    ForgedVotes, ///< Refused votes are delivered as granted.
    AlteredEntry, ///< Entries are modified in transit.
    SlowClock, ///< One host's monotonic clock runs at a third of normal speed.
    JumpingWallClock ///< The wall clock jumps by more than the retention of claims.
};

/// Randomized run of a cluster with message loss, delay, duplication and reordering, network partitions, crashes during
/// writes, full disks and lost disks, which cause configuration changes. Deterministic for a given seed.
class RandomRun {
public:
    explicit RandomRun(uint64_t seed, Fault fault = Fault::None);

    void run(Duration duration);
    /// Ends all failures. True if all replicas become voters, current and equal.
    [[nodiscard]] bool recovers();
    /// State of each host, one line per host, for failure messages.
    [[nodiscard]] std::string describe();
    [[nodiscard]] const InvariantChecker& checker() const { return checker_; }
    [[nodiscard]] uint64_t diskLosses() const { return diskLosses_; }

private:
    void tamperWithMessages();
    void performRandomAction();
    void propose();
    void claim();
    void crashRandomHost();
    void startRandomHost();
    void cutRandomLinks();
    void toggleFullDisk();
    void loseDisk();
    [[nodiscard]] size_t leaderOrAny();
    [[nodiscard]] bool allDisksHaveVoters();
    [[nodiscard]] bool hasConverged();
    [[nodiscard]] size_t anyHost() { return cluster_.random(cluster_.size()); }
    [[nodiscard]] static FakeClusterOptions optionsOf(uint64_t seed);

    InvariantChecker checker_;
    FakeCluster cluster_;
    Fault fault_;
    TestOperator ana_ {"ana"};
    TestOperator ben_ {"ben"};
    uint64_t lastVersion_ = 0;
    uint64_t lastClaim_ = 0;
    uint64_t diskLosses_ = 0;
};

} // namespace saltvane::control::test
