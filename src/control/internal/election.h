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

/// Elections: a pre-vote asks whether a candidacy could win before it raises the term; the vote itself counts only
/// once it is on the disk. Whoever heard from a leader within the election timeout refuses to vote: a leader's lease,
/// which is shorter, can not outlive its leadership. Where all voters' processes are new nobody has such a lease.
class Election {
public:
    explicit Election(ReplicaContext& context);

    /// The process has just started: it may have acknowledged a leader shortly before.
    void start();
    void noteLeader();
    void tick();
    void handle(const HostId& from, const model::VoteRequest& request);
    void handle(const model::VoteReply& reply);
    void handle(const HostId& from, const model::StartNotice& notice);
    void noteDurable();
    /// Campaign at the next tick.
    void hurry();

private:
    void waitAnew();
    void startPreVote();
    void startCandidacy();
    void requestVotes(bool isPreVote);
    void countVotes();
    void standAfterCommonStart();
    /// Somebody may hold a leader's lease that this process, or the one before it, has acknowledged.
    [[nodiscard]] bool mayHaveLeader(const model::VoteRequest& request) const;
    [[nodiscard]] bool mayVote() const;
    [[nodiscard]] bool isUpToDate(const model::VoteRequest& request) const;
    void answerPreVote(const HostId& from, const model::VoteRequest& request);
    void answerVote(const HostId& from, const model::VoteRequest& request);

    ReplicaContext& context_;
    CommonStart commonStart_;
    boost::random::mt19937_64 random_;
    Timestamp deadline_ {};
    Timestamp noVoteBefore_ {};
    std::set<model::ReplicaId> votes_;
    uint64_t voteSequence_ = 0; ///< Write of the own latest vote.
    bool hasRequestedVotes_ = false;
};

} // namespace saltvane::control
