/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/replicacontext.h"

#include <map>

namespace saltvane::control {

/// Detects that the processes of all voters have restarted, so that no leader can exist. A voter that restarts alone
/// waits an election timeout before it votes, since its previous process may have acknowledged a leader that still
/// holds its lease. After a restart of all voters this wait is unnecessary: a leader is elected two round trips after
/// the last start, instead of one to three election timeouts. docs/design/0011-common-restart.md
class CommonRestartDetector {
public:
    explicit CommonRestartDetector(ReplicaContext& context);

    /// From now on a leader may rely on this process's acknowledgements.
    void onLeaderContact();
    /// Sends notices to the voters that have not reported their start.
    void tick();
    void handle(const HostId& from, const model::StartNotice& notice);
    /// Whether this replica shall start an election: all voters have restarted without contact to a leader since, and
    /// this one has the most complete log (lowest id among equals). No other voter does so. True only once.
    [[nodiscard]] bool popCandidacy();
    /// Start number that the voter on this host reported; 0 until all voters have reported.
    [[nodiscard]] uint64_t voterStartOf(const HostId& host) const;
    /// Whether a vote request names this process's start number, and the process has had no contact to a leader.
    [[nodiscard]] bool isOwnStart(uint64_t start) const;

private:
    [[nodiscard]] model::StartNotice makeNotice(bool isAnswer) const;
    [[nodiscard]] bool haveAllReported() const;
    [[nodiscard]] bool isPreferredCandidate() const;

    ReplicaContext& context_;
    /// False in a new group: it has had no leader, and its bootstrapping replica campaigns without waiting.
    const bool hasRecovered_;
    bool hasLeaderContact_ = false;
    bool hasCampaigned_ = false;
    Timestamp nextNoticeAt_ {};
    std::map<HostId, model::StartNotice> notices_; ///< Latest notice of each host.
};

} // namespace saltvane::control
