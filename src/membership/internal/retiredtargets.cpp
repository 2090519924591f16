/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/retiredtargets.h"

#include <algorithm>

namespace saltvane::membership {

RetiredTargets::RetiredTargets(size_t capacity)
    : capacity_(capacity)
{
}

model::TargetIncarnation RetiredTargets::entryFor(const model::TargetIncarnation& instance)
{
    return {.target = instance.target, .incarnation = std::max(instance.incarnation, EarliestIncarnation)};
}

bool RetiredTargets::record(const model::TargetIncarnation& entry)
{
    if (covers(entry))
        return false;
    Target& target = targets_[entry.target];
    ++target.entries;
    target.isUnresolved = entry.incarnation == Incarnation {};
    if (!target.isUnresolved) {
        ++target.entriesWithIncarnation;
        target.latest = std::max(target.latest, entry.incarnation);
    }
    order_.push_back(entry);
    if (order_.size() > capacity_)
        eraseOldest();
    return true;
}

bool RetiredTargets::covers(const model::TargetIncarnation& entry) const
{
    if (entry.incarnation != Incarnation {})
        return contains(entry) && !isUnresolved(entry.target);
    return isUnresolved(entry.target);
}

bool RetiredTargets::contains(const model::TargetIncarnation& instance) const
{
    const Incarnation latest = latestOf(instance.target);
    return latest != Incarnation {} && latest >= instance.incarnation;
}

bool RetiredTargets::isUnresolved(const TargetId& target) const
{
    const auto found = targets_.find(target);
    return found != targets_.end() && found->second.isUnresolved;
}

Incarnation RetiredTargets::latestOf(const TargetId& target) const
{
    const auto found = targets_.find(target);
    return found == targets_.end() ? Incarnation {} : found->second.latest;
}

void RetiredTargets::eraseOldest()
{
    const model::TargetIncarnation oldest = order_.front();
    order_.pop_front();
    const auto found = targets_.find(oldest.target);
    Target& target = found->second;
    --target.entries;
    if (oldest.incarnation != Incarnation {} && --target.entriesWithIncarnation == 0)
        target.latest = {};
    if (target.entries == 0)
        targets_.erase(found);
}

} // namespace saltvane::membership
