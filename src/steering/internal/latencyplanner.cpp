/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/latencyplanner.h"

#include "steering/internal/waterfill.h"

namespace saltvane::steering {

namespace {

/// Utilisation of a zone at which traffic spills to a farther one; the rest of its capacity absorbs fluctuations.
constexpr double TargetUtilisation = 0.9;

} // namespace

ShareMatrix LatencyPlanner::plan(const PlanInput& input, LinkHeadroom& links) const
{
    return fillByDelay(input, links, TargetUtilisation);
}

} // namespace saltvane::steering
