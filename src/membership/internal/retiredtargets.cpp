/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/retiredtargets.h"

namespace saltvane::membership {

RetiredTargets::RetiredTargets(size_t capacity)
    : capacity_(capacity)
{
}

bool RetiredTargets::note(const model::TargetIncarnation& start)
{
    if (contains(start))
        return false;
    latest_.insert_or_assign(start.target, start.incarnation);
    order_.push_back(start);
    if (order_.size() > capacity_)
        forgetOldest();
    return true;
}

bool RetiredTargets::contains(const model::TargetIncarnation& start) const
{
    const auto found = latest_.find(start.target);
    return found != latest_.end() && found->second >= start.incarnation;
}

void RetiredTargets::forgetOldest()
{
    const model::TargetIncarnation oldest = order_.front();
    order_.pop_front();
    const auto latest = latest_.find(oldest.target);
    if (latest != latest_.end() && latest->second == oldest.incarnation)
        latest_.erase(latest);
}

} // namespace saltvane::membership
