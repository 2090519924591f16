/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/tests/fakecluster.h"
#include "control/tests/invariantchecker.h"

#include <set>

namespace saltvane::control::test {

/// Until a host that is up and connected again must be a voter.
constexpr Duration MaxReturnTime = 5s;

/// Outages of up to three of six hosts at once: cut off in both directions or one, suspended, crashed, or crashed with
/// the loss of one disk. Some end before unresponsive replicas are removed, and leaders crash meanwhile.
class DrawnOutages {
public:
    explicit DrawnOutages(uint64_t seed);

    /// The longest time from the end of an outage until all hosts were voters.
    Duration play();

    [[nodiscard]] const InvariantChecker& checker() const { return checker_; }
    /// Hosts that were outside the group at the end of an outage.
    [[nodiscard]] uint64_t returns() const { return returns_; }

private:
    void begin();
    void end();
    void runWithChanges(Duration duration);
    void cutOff(size_t number);
    void blockOutgoing(size_t number);
    void blockIncoming(size_t number);
    void suspend(size_t number);
    void crash(size_t number);
    /// Only one disk is lost in each outage; further hosts crash and keep theirs.
    void loseDisk(size_t number);
    void restart(size_t number);

    InvariantChecker checker_;
    FakeCluster cluster_;
    TestOperator operator_ {"ana"};
    std::set<size_t> affected_;
    bool hasLostDisk_ = false;
    uint64_t lastVersion_ = 0;
    uint64_t returns_ = 0;
};

} // namespace saltvane::control::test
