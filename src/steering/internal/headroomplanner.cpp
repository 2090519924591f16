/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/headroomplanner.h"

#include "steering/internal/waterfill.h"

#include <algorithm>
#include <numeric>

namespace saltvane::steering {

namespace {

/// A nearer zone may be used by this factor more than the mean before a farther one is used.
constexpr double NearnessBias = 1.05;
/// Below this utilisation a zone can take twice its load, and further equalising would only add delay.
constexpr double AmpleUtilisation = 0.5;

} // namespace

ShareMatrix HeadroomPlanner::plan(const PlanInput& input, LinkHeadroom& links) const
{
    const double capacity = std::accumulate(input.capacities.begin(), input.capacities.end(), 0.0);
    const double demand = std::accumulate(input.demands.begin(), input.demands.end(), 0.0);
    const double mean = capacity > 0 ? demand / capacity : 1;
    return fillByDelay(input, links, std::clamp(mean * NearnessBias, AmpleUtilisation, 1.0));
}

} // namespace saltvane::steering
