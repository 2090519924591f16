/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetreachability.h"

#include <algorithm>

namespace saltvane::gateway {

bool TargetReachability::recordFailure(const GatewayTarget& target, Failure failure, Timestamp startedAt, Timestamp now)
{
    const Timestamp lastEvidence = failure == Failure::Connect ? connectedAt_ : answeredAt_;
    if (unreachableSince_ || startedAt < lastEvidence || target.record.isLeaving || target.isUnresponsive)
        return false;
    const auto isOutdated = [&](const FailedTarget& failed) { return now - failed.failedAt > MaxFailureAge; };
    failures_.erase(std::remove_if(failures_.begin(), failures_.end(), isOutdated), failures_.end());
    const model::TargetIncarnation targetIncarnation = target.targetIncarnation();
    if (std::ranges::find(failures_, targetIncarnation, &FailedTarget::target) != failures_.end())
        return false;
    failures_.push_back({.target = targetIncarnation, .zone = target.zone->name, .failure = failure, .failedAt = now});
    if (!isSufficient())
        return false;
    unreachableSince_ = now;
    return true;
}

bool TargetReachability::isSufficient() const
{
    if (failures_.size() >= MinTargetsOfOneZone)
        return true;
    const bool areInOneZone = std::ranges::all_of(
        failures_, [&](const FailedTarget& failed) { return failed.zone == failures_.front().zone; });
    return failures_.size() >= MinTargets && !areInOneZone;
}

void TargetReachability::reset()
{
    failures_.clear();
    unreachableSince_.reset();
}

bool TargetReachability::recordAnswer(bool isNewConnection, Timestamp now)
{
    answeredAt_ = now;
    if (isNewConnection)
        connectedAt_ = now;
    const bool wasUnreachable = unreachableSince_.has_value();
    if (wasUnreachable && !isNewConnection)
        return false;
    const auto isRefuted
        = [&](const FailedTarget& failed) { return isNewConnection || failed.failure == Failure::Response; };
    failures_.erase(std::remove_if(failures_.begin(), failures_.end(), isRefuted), failures_.end());
    unreachableSince_.reset();
    return wasUnreachable;
}

} // namespace saltvane::gateway
