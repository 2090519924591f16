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

bool RetiredTargets::record(const model::TargetIncarnation& instance)
{
    if (contains(instance))
        return false;
    latest_.insert_or_assign(instance.target, instance.incarnation);
    order_.push_back(instance);
    if (order_.size() > capacity_)
        eraseOldest();
    return true;
}

bool RetiredTargets::contains(const model::TargetIncarnation& instance) const
{
    const auto found = latest_.find(instance.target);
    return found != latest_.end() && found->second >= instance.incarnation;
}

void RetiredTargets::eraseOldest()
{
    const model::TargetIncarnation oldest = order_.front();
    order_.pop_front();
    const auto latest = latest_.find(oldest.target);
    if (latest != latest_.end() && latest->second == oldest.incarnation)
        latest_.erase(latest);
}

} // namespace saltvane::membership
