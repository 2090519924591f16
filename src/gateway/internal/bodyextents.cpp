/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/bodyextents.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

constexpr double Decay = 0.998; ///< Per response.
constexpr size_t MaxRoutes = 1024; ///< About 100 bytes each.

} // namespace

void BodyExtents::record(const model::RouteName& route, const Extent& extent)
{
    auto found = routes_.find(route);
    if (found == routes_.end()) {
        if (routes_.size() >= MaxRoutes)
            return;
        found = routes_.emplace(route, Extent {}).first;
    }
    Extent& largest = found->second;
    largest.bytes = std::max(extent.bytes, static_cast<uint64_t>(static_cast<double>(largest.bytes) * Decay));
    largest.duration = std::max(extent.duration, fromSeconds(toSeconds(largest.duration) * Decay));
}

std::optional<BodyExtents::Extent> BodyExtents::largest(const model::RouteName& route) const
{
    const auto found = routes_.find(route);
    return found == routes_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace saltvane::gateway
