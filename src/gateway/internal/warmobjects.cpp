/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/warmobjects.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

/// Targets keep some dozens of objects; an object that was not requested for this long has most likely been evicted.
constexpr Duration WarmDuration = 20s;
constexpr size_t MaxObjects = 4096;

} // namespace

void WarmObjects::recordResponse(uint64_t object, uint64_t target, Timestamp now)
{
    if (objects_.size() >= MaxObjects && !objects_.contains(object))
        objects_.erase(objects_.begin());
    Entries& entries = objects_[object];
    auto* entry = std::ranges::find(entries, target, &Entry::target);
    if (entry == entries.end())
        entry = std::ranges::min_element(entries, {}, &Entry::answeredAt);
    *entry = {.target = target, .answeredAt = now};
}

bool WarmObjects::isWarm(uint64_t object, uint64_t target, Timestamp now) const
{
    const auto found = objects_.find(object);
    if (found == objects_.end())
        return false;
    const auto* const entry = std::ranges::find(found->second, target, &Entry::target);
    return entry != found->second.end() && now - entry->answeredAt <= WarmDuration;
}

void WarmObjects::forgetTarget(uint64_t target)
{
    for (auto& [object, entries] : objects_) {
        for (Entry& entry : entries) {
            if (entry.target == target)
                entry = {};
        }
    }
}

} // namespace saltvane::gateway
