/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/internal/irouteplanner.h"

namespace saltvane::steering {

/// Optimises for headroom: open zones get nearly equal utilisation; within that, the nearest zones are preferred.
class HeadroomPlanner : public IRoutePlanner {
public:
    [[nodiscard]] ShareMatrix plan(const PlanInput& input, LinkHeadroom& links) const override;
};

} // namespace saltvane::steering
