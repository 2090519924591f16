/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/lostruntracker.h"

#include <utility>

namespace saltvane::gateway {

void LostRunTracker::record(const LostRun& run)
{
    if (expiryOrder_.size() >= MaxRuns)
        return;
    byTarget_[run.target].push_back(run);
    expiryOrder_.emplace_back(run.lostAt, run.target);
}

std::vector<LostRun> LostRunTracker::removeLostAt(const model::TargetIncarnation& target)
{
    const auto found = byTarget_.find(target);
    if (found == byTarget_.end())
        return {};
    std::vector<LostRun> lost = std::move(found->second);
    byTarget_.erase(found);
    return lost;
}

void LostRunTracker::expire(Timestamp now)
{
    for (; !expiryOrder_.empty() && now - expiryOrder_.front().first >= MaxAge; expiryOrder_.pop_front()) {
        const auto found = byTarget_.find(expiryOrder_.front().second);
        if (found == byTarget_.end())
            continue;
        std::erase_if(found->second, [&](const LostRun& run) { return now - run.lostAt >= MaxAge; });
        if (found->second.empty())
            byTarget_.erase(found);
    }
}

} // namespace saltvane::gateway
