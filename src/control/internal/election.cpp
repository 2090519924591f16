/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/election.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <tuple>

namespace saltvane::control {

Election::Election(ReplicaContext& context)
    : context_(context)
    , commonRestart_(context)
    , random_(context.options.seed)
{
}

void Election::start()
{
    noVoteBefore_ = context_.now + context_.options.electionTimeout;
    resetElectionTimeout();
}

void Election::onLeaderContact()
{
    commonRestart_.onLeaderContact();
    noVoteBefore_ = context_.now + context_.options.electionTimeout;
    resetElectionTimeout();
}

void Election::campaignAtNextTick() { deadline_ = context_.now; }

void Election::resetElectionTimeout()
{
    const Duration timeout = context_.options.electionTimeout;
    boost::random::uniform_int_distribution<Duration::rep> jitter(0, timeout.count());
    deadline_ = context_.now + timeout + Duration(jitter(random_));
}

void Election::tick()
{
    if (context_.role != Role::Leader)
        commonRestart_.tick();
    if (context_.role == Role::Leader || context_.now < deadline_)
        return;
    if (!context_.configurations.latest().isVoter(context_.self) || context_.storage.isFailing())
        return;
    startPreVote();
}

void Election::handle(const HostId& from, const model::StartNotice& notice)
{
    if (context_.role == Role::Leader)
        return;
    commonRestart_.handle(from, notice);
    campaignAfterCommonRestart();
}

void Election::campaignAfterCommonRestart()
{
    if (context_.storage.isFailing() || context_.role == Role::Leader || !commonRestart_.popCandidacy())
        return;
    context_.follow(context_.hardState.term);
    startCandidacy();
}

void Election::startPreVote()
{
    context_.follow(context_.hardState.term);
    context_.role = Role::PreCandidate;
    votes_ = {context_.self};
    resetElectionTimeout();
    requestVotes(true);
    countVotes();
}

void Election::startCandidacy()
{
    context_.role = Role::Candidate;
    context_.count(model::Counter::Elections);
    votes_.clear();
    hasRequestedVotes_ = false;
    const LogTerm term {context_.hardState.term.value + 1};
    voteSequence_ = context_.setHardState({.term = term, .votedFor = context_.self});
    resetElectionTimeout();
}

void Election::onDurable()
{
    const bool isOwnVoteDurable = context_.role == Role::Candidate && voteSequence_ <= context_.storage.completed();
    if (!isOwnVoteDurable || hasRequestedVotes_)
        return;
    hasRequestedVotes_ = true;
    votes_.insert(context_.self);
    requestVotes(false);
    countVotes();
}

void Election::requestVotes(bool isPreVote)
{
    const LogTerm term {context_.hardState.term.value + (isPreVote ? 1 : 0)};
    for (const ReplicaInfo& info : context_.configurations.latest().replicas) {
        if (!info.isVoter || info.replica == context_.self)
            continue;
        context_.send(info.host,
            model::VoteRequest {.term = term,
                .candidate = context_.self,
                .lastIndex = context_.log.lastIndex(),
                .lastTerm = context_.log.lastTerm(),
                .isPreVote = isPreVote,
                .voterStart = commonRestart_.voterStartOf(info.host)});
    }
}

void Election::countVotes()
{
    const Configuration& configuration = context_.configurations.latest();
    const auto granted
        = std::ranges::count_if(votes_, [&](const model::ReplicaId& voter) { return configuration.isVoter(voter); });
    if (static_cast<size_t>(granted) < configuration.quorum())
        return;
    if (context_.role == Role::PreCandidate)
        startCandidacy();
    else if (context_.role == Role::Candidate)
        context_.role = Role::Leader;
}

bool Election::mayVote() const
{
    // A replica without a configuration may be a voter that has received no entries yet. The vote of any other
    // non-member would not be counted.
    const Configuration& configuration = context_.configurations.latest();
    return configuration.replicas.empty() || configuration.find(context_.self);
}

bool Election::isUpToDate(const model::VoteRequest& request) const
{
    return std::tuple(request.lastTerm, request.lastIndex)
        >= std::tuple(context_.log.lastTerm(), context_.log.lastIndex());
}

bool Election::mayHaveLeader(const model::VoteRequest& request) const
{
    if (context_.role == Role::Leader)
        return true;
    return context_.now < noVoteBefore_ && !commonRestart_.isOwnStart(request.voterStart);
}

void Election::handle(const HostId& from, const model::VoteRequest& request)
{
    if (mayHaveLeader(request) || !mayVote()) {
        context_.send(from,
            model::VoteReply {.term = context_.hardState.term,
                .voter = context_.self,
                .isGranted = false,
                .isPreVote = request.isPreVote});
        return;
    }
    if (request.isPreVote)
        answerPreVote(from, request);
    else
        answerVote(from, request);
}

void Election::answerPreVote(const HostId& from, const model::VoteRequest& request)
{
    const bool isGranted = request.term > context_.hardState.term && isUpToDate(request);
    if (isGranted)
        resetElectionTimeout(); // Yields to the candidate: two candidates at once would split the votes.
    context_.send(from,
        model::VoteReply {.term = isGranted ? request.term : context_.hardState.term,
            .voter = context_.self,
            .isGranted = isGranted,
            .isPreVote = true});
}

void Election::answerVote(const HostId& from, const model::VoteRequest& request)
{
    if (request.term > context_.hardState.term)
        context_.follow(request.term);
    const model::ReplicaId& votedFor = context_.hardState.votedFor;
    const bool isFree = votedFor.isEmpty() || votedFor == request.candidate;
    const bool isGranted = request.term == context_.hardState.term && isFree && isUpToDate(request);
    if (isGranted && votedFor.isEmpty()) {
        voteSequence_ = context_.setHardState({.term = request.term, .votedFor = request.candidate});
        resetElectionTimeout();
    }
    const model::VoteReply reply {.term = context_.hardState.term, .voter = context_.self, .isGranted = isGranted};
    context_.sendWhenDurable(isGranted ? voteSequence_ : 0, from, reply);
}

void Election::handle(const model::VoteReply& reply)
{
    const LogTerm term = context_.hardState.term;
    if (!reply.isGranted && reply.term > term)
        return context_.follow(reply.term);
    const bool isMine = reply.isPreVote ? context_.role == Role::PreCandidate && reply.term.value == term.value + 1
                                        : context_.role == Role::Candidate && hasRequestedVotes_ && reply.term == term;
    if (!reply.isGranted || !isMine)
        return;
    votes_.insert(reply.voter);
    countVotes();
}

} // namespace saltvane::control
