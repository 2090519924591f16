/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/warmobjects.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

/// Targets keep some dozens of objects; one not asked for this long has most likely made room for others.
constexpr Duration WarmFor = 20s;
constexpr size_t MostObjects = 4096;

} // namespace

void WarmObjects::note(uint64_t object, uint64_t target, Timestamp now)
{
    if (objects_.size() >= MostObjects && !objects_.contains(object))
        objects_.erase(objects_.begin());
    Places& places = objects_[object];
    auto* place = std::ranges::find(places, target, &Place::target);
    if (place == places.end())
        place = std::ranges::min_element(places, {}, &Place::answeredAt);
    *place = {.target = target, .answeredAt = now};
}

bool WarmObjects::isWarm(uint64_t object, uint64_t target, Timestamp now) const
{
    const auto found = objects_.find(object);
    if (found == objects_.end())
        return false;
    const auto* const place = std::ranges::find(found->second, target, &Place::target);
    return place != found->second.end() && now - place->answeredAt <= WarmFor;
}

void WarmObjects::forgetTarget(uint64_t target)
{
    for (auto& [object, places] : objects_) {
        for (Place& place : places) {
            if (place.target == target)
                place = {};
        }
    }
}

} // namespace saltvane::gateway
