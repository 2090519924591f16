/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/tests/fakecluster.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace saltvane::control::test {

/// Invariants that must hold at all times, whatever fails.
enum class Property {
    ElectionSafety, ///< At most one leader per term.
    LogMatching, ///< Entries with equal index and term are equal, and so are all preceding ones.
    /// Entries committed by a replica are on its disk and the same everywhere, and every new leader has them.
    CommittedEntriesPreserved,
    CurrentStateProof, ///< A replica with a proof has every bundle in force at the time of that proof.
    SingleClaim ///< A key is granted to only one claim.
};

/// Checks all replicas and disks of a FakeCluster after each event and records violations.
class InvariantChecker {
public:
    void check(FakeCluster& cluster);
    /// Registers the key that a client claims with this claim number.
    void recordClaim(uint64_t claim, const std::string& key) { claims_[claim] = key; }

    struct Violation {
        Property property;
        std::string text;
    };
    [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }
    // Amount of work done in a run.
    [[nodiscard]] size_t bundlesInForce() const { return inForce_.size(); }
    [[nodiscard]] size_t entriesCommitted() const { return committed_.size(); }
    [[nodiscard]] size_t keysGranted() const { return granted_.size(); }
    [[nodiscard]] bool has(Property property) const;

private:
    struct Observed {
        Incarnation incarnation;
        LogIndex commit;
        model::ReplicaId disk;
        uint64_t diskVersion = 0;
        size_t replies = 0;
    };
    struct ObservedEntry {
        std::string payload;
        LogTerm previousTerm;
    };
    struct InForceSince {
        Timestamp at;
        LogPosition position;
    };

    void checkLeader(FakeHost& host);
    void checkDisk(const FakeHost& host, Observed& observed);
    void checkCommitted(const FakeHost& host, Observed& observed);
    void checkProof(FakeCluster& cluster, const FakeHost& host);
    void checkClaims(const FakeHost& host, Observed& observed);
    void recordInForce(const FakeHost& host, Timestamp now);
    [[nodiscard]] LogPosition inForceBefore(Timestamp time) const;
    void report(Property property, const FakeHost& host, const std::string& text);

    std::map<HostId, Observed> observed_;
    std::map<LogTerm, model::ReplicaId> leaders_;
    std::map<std::pair<LogIndex, LogTerm>, ObservedEntry> entries_;
    std::map<LogIndex, model::LogEntry> committed_;
    std::vector<InForceSince> inForce_;
    std::map<uint64_t, std::string> claims_;
    std::map<std::string, uint64_t> granted_; ///< Claim number by key.
    std::vector<Violation> violations_;
};

} // namespace saltvane::control::test
