/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/commonstart.h"

#include <boost/random/mersenne_twister.hpp>

#include <set>

namespace saltvane::control {

/// Leader election. A pre-vote checks that a candidacy could succeed before the term is raised. A vote counts only once
/// it is durable. A replica that had contact to a leader within the election timeout does not vote, so that a leader's
/// lease, which is shorter, cannot outlast its leadership. After a restart of all voters no such lease exists.
class Election {
public:
    explicit Election(ReplicaContext& context);

    /// Called at process start. The previous process may have acknowledged a leader shortly before.
    void start();
    void onLeaderContact();
    void tick();
    void handle(const HostId& from, const model::VoteRequest& request);
    void handle(const model::VoteReply& reply);
    void handle(const HostId& from, const model::StartNotice& notice);
    void onDurable();
    /// Lets the election timeout expire at the next tick.
    void campaignAtNextTick();

private:
    void resetElectionTimeout();
    void startPreVote();
    void startCandidacy();
    void requestVotes(bool isPreVote);
    void countVotes();
    void campaignAfterCommonRestart();
    /// A leader may hold a lease that this process or its predecessor has acknowledged.
    [[nodiscard]] bool mayHaveLeader(const model::VoteRequest& request) const;
    [[nodiscard]] bool mayVote() const;
    [[nodiscard]] bool isUpToDate(const model::VoteRequest& request) const;
    void answerPreVote(const HostId& from, const model::VoteRequest& request);
    void answerVote(const HostId& from, const model::VoteRequest& request);

    ReplicaContext& context_;
    CommonRestartDetector commonRestart_;
    boost::random::mt19937_64 random_;
    Timestamp deadline_ {};
    Timestamp noVoteBefore_ {};
    std::set<model::ReplicaId> votes_;
    uint64_t voteSequence_ = 0; ///< Storage write of this replica's latest vote.
    bool hasRequestedVotes_ = false;
};

} // namespace saltvane::control
