/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/internal/irouteplanner.h"

namespace saltvane::steering {

/// Optimises for latency: the nearest zones are filled up to a fixed utilisation before the next nearest are used.
class LatencyPlanner : public IRoutePlanner {
public:
    [[nodiscard]] ShareMatrix plan(const PlanInput& input, LinkHeadroom& links) const override;
};

} // namespace saltvane::steering
