/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/deployment.h"

#include <span>
#include <vector>

namespace saltvane::steering {

/// Zones with the same delay from a client region.
struct DelayTier {
    RegionIndex region;
    Duration delay {};
    std::vector<ZoneIndex> zones;
};

/// The order in which planners assign capacity: the delay tiers of all client regions of a deployment, by delay.
class FillOrder {
public:
    explicit FillOrder(const model::Deployment& deployment);

    /// All tiers, shortest delay first; ties by region.
    [[nodiscard]] std::span<const DelayTier> tiers() const { return tiers_; }
    /// The tiers of one client region, nearest first.
    [[nodiscard]] const std::vector<DelayTier>& tiersOf(RegionIndex region) const { return byRegion_[region.value]; }

private:
    std::vector<std::vector<DelayTier>> byRegion_;
    std::vector<DelayTier> tiers_;
};

} // namespace saltvane::steering
