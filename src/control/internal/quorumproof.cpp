/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/quorumproof.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace saltvane::control {

void QuorumProof::reset()
{
    rounds_.clear();
    acknowledged_.clear();
    lastRound_ = 0;
}

uint64_t QuorumProof::startRound(Timestamp now)
{
    rounds_.push_back({.number = ++lastRound_, .sentAt = now});
    return lastRound_;
}

void QuorumProof::acknowledge(const model::ReplicaId& replica, uint64_t round)
{
    const auto sent = std::ranges::lower_bound(rounds_, round, {}, &Round::number);
    if (sent == rounds_.end() || sent->number != round)
        return;
    Acknowledgement& latest = acknowledged_[replica];
    if (latest.round < round)
        latest = {.round = round, .sentAt = sent->sentAt};
}

uint64_t QuorumProof::heardRound(const model::ReplicaId& replica) const
{
    const auto found = acknowledged_.find(replica);
    return found == acknowledged_.end() ? 0 : found->second.round;
}

std::optional<Timestamp> QuorumProof::lastContactAt(const model::ReplicaId& replica) const
{
    const auto found = acknowledged_.find(replica);
    if (found == acknowledged_.end())
        return std::nullopt;
    return found->second.sentAt;
}

std::optional<Timestamp> QuorumProof::provenAt(
    const Configuration& configuration, const model::ReplicaId& self, Timestamp now) const
{
    std::vector<Timestamp> times;
    for (const ReplicaInfo& info : configuration.replicas) {
        if (!info.isVoter)
            continue;
        const std::optional<Timestamp> time = info.replica == self ? now : lastContactAt(info.replica);
        if (time)
            times.push_back(*time);
    }
    const size_t quorum = configuration.quorum();
    if (times.size() < quorum)
        return std::nullopt;
    std::ranges::sort(times, std::greater {});
    return times[quorum - 1];
}

void QuorumProof::forgetBefore(Timestamp time)
{
    while (!rounds_.empty() && rounds_.front().sentAt < time)
        rounds_.pop_front();
}

} // namespace saltvane::control
