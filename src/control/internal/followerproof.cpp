/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/followerproof.h"

#include <algorithm>

namespace saltvane::control {

namespace {
constexpr size_t MaxStoredReplies = 4096;
} // namespace

void FollowerProof::startTerm()
{
    replies_.clear();
    candidate_.reset();
}

void FollowerProof::recordReply(uint64_t round, Timestamp now)
{
    if (!replies_.empty() && replies_.back().round >= round)
        return;
    replies_.push_back({.round = round, .sentAt = now});
    if (replies_.size() > MaxStoredReplies)
        replies_.pop_front();
}

void FollowerProof::recordRequest(const model::AppendRequest& request, LogIndex commit)
{
    if (request.proofAge == Duration::max())
        return;
    const auto reply = std::ranges::lower_bound(replies_, request.heardRound, {}, &Reply::round);
    if (reply == replies_.end() || reply->round != request.heardRound)
        return;
    const Timestamp provenAt = reply->sentAt - request.proofAge;
    replies_.erase(replies_.begin(), reply);
    if (commit >= request.commit)
        adopt(provenAt);
    else if (!candidate_)
        candidate_ = Candidate {.commit = request.commit, .provenAt = provenAt};
}

void FollowerProof::recordCommit(LogIndex commit)
{
    if (!candidate_ || commit < candidate_->commit)
        return;
    adopt(candidate_->provenAt);
    candidate_.reset();
}

void FollowerProof::adopt(Timestamp provenAt) { provenAt_ = provenAt_ ? std::max(*provenAt_, provenAt) : provenAt; }

} // namespace saltvane::control
