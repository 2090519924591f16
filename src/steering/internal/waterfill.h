/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/internal/irouteplanner.h"

namespace saltvane::steering {

/// Assigns the demand of each client region to zones, nearest first (water-filling). A first pass fills each zone up to
/// `utilisation` of its capacity and within the headroom of the links; a second pass fills it completely.
///
/// Demand beyond all capacity scales up the row that its region has got, so that in an overload clients are not sent
/// far away only to be refused. A region that got nothing is spread over all zones by capacity. If no zone has
/// capacity, the nearest open zones share the row; if no zone is open, the whole row is unassigned.
[[nodiscard]] ShareMatrix fillByDelay(const PlanInput& input, LinkHeadroom& links, double utilisation);

} // namespace saltvane::steering
