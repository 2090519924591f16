/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/fillorder.h"

#include <algorithm>

namespace saltvane::steering {

FillOrder::FillOrder(const model::Deployment& deployment)
    : byRegion_(deployment.regionCount())
{
    for (uint32_t region = 0; region < deployment.regionCount(); ++region) {
        auto& own = byRegion_[region];
        for (const auto zone : deployment.zonesByDelay({region})) {
            const auto delay = deployment.delay(RegionIndex {region}, deployment.regionOf(zone));
            if (own.empty() || own.back().delay != delay)
                own.push_back({.region = {region}, .delay = delay});
            own.back().zones.push_back(zone);
        }
        tiers_.insert(tiers_.end(), own.begin(), own.end());
    }
    std::ranges::stable_sort(tiers_, {}, &DelayTier::delay);
}

} // namespace saltvane::steering
