/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/replicacontext.h"

#include <map>

namespace saltvane::control {

/// Finds out whether the processes of all voters have started anew, so that nobody can be leading: a voter that starts
/// alone waits an election timeout before it votes, since it may have acknowledged a leader that still holds its
/// lease. Where no process of before is left that wait guards nothing. docs/design/0011-common-restart.md
///
/// Buys: after a loss of all hosts a leader stands two round trips after the last start, not one to three election
/// timeouts.
class CommonStart {
public:
    explicit CommonStart(ReplicaContext& context);

    /// From now on another host's process may rely on what this one acknowledged.
    void noteLeader();
    /// Asks the voters that have not told yet.
    void tick();
    void handle(const HostId& from, const model::StartNotice& notice);
    /// All voters' processes have started and have heard of no leader since, and of all of them this one has the most
    /// complete log (the lowest id among equals): it shall stand, and nobody else will. True once.
    [[nodiscard]] bool takeCandidacy();
    /// The start that a voter told of, once all voters have told; else 0.
    [[nodiscard]] uint64_t startOf(const HostId& host) const;
    /// Whether a request for a vote names this very start, which has heard of no leader.
    [[nodiscard]] bool isOwnStart(uint64_t start) const;

private:
    [[nodiscard]] model::StartNotice makeNotice(bool isAnswer) const;
    [[nodiscard]] bool haveAllTold() const;
    [[nodiscard]] bool isFirstOfAll() const;

    ReplicaContext& context_;
    /// A group that is being founded has had no leader: its founder stands, and nobody has to be waited for.
    const bool hasRecovered_;
    bool hasHeardLeader_ = false;
    bool hasStood_ = false;
    Timestamp nextNoticeAt_ {};
    std::map<HostId, model::StartNotice> notices_; ///< The latest of each host.
};

} // namespace saltvane::control
