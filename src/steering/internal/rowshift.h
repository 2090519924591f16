/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/counters.h"
#include "model/deployment.h"
#include "steering/internal/serviceroutes.h"
#include "steering/internal/sharematrix.h"

namespace saltvane::steering {

/// Fraction of the cap that a planned shift uses; the rest is left for requests diverted during the shift.
constexpr double PlannedShiftFraction = 0.92;

/// Adopts the plan row by row. Unless `isNewBundle`, a row keeps its current plan if the new one differs little, so
/// that noise in capacity and demand does not move traffic.
void adoptPlan(ServiceRoutes& routes, const ShareMatrix& plan, bool isNewBundle);

/// Moves the service's rows as far as the caps allow now. While frozen, only shares of failed zones move.
void stepRows(
    ServiceRoutes& routes, const model::ShiftCap& cap, bool isFrozen, Timestamp now, model::Counters* counters);

/// Sets every row to its plan at once; only before the service's first request.
void setRowsToPlan(ServiceRoutes& routes);

[[nodiscard]] bool isShifting(const ServiceRoutes& routes);
/// Progress of the running shift, 0 to 1; 1 when none runs.
[[nodiscard]] double shiftProgressOf(const ServiceRoutes& routes);

} // namespace saltvane::steering
