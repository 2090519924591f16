/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "model/deployment.h"
#include "steering/internal/movementhistory.h"
#include "steering/internal/routerow.h"
#include "steering/steeringtypes.h"

#include <vector>

namespace saltvane::steering {

/// Reported state of one zone for one service.
struct ZoneState {
    double capacity = 0; ///< Concurrent requests, as reported.
    double openCapacity = 0; ///< Capacity scaled by the open share.
    Duration queueDelay {};
};

/// The state of one service: planning, row movement and zone choice work on it.
struct ServiceRoutes {
    ServiceIndex index;
    std::vector<RouteRowState> rows; ///< By client region.
    std::vector<ZoneState> zones; ///< By zone.
    std::vector<bool> failedZones; ///< By zone: it has no capacity while an open zone has some.
    std::vector<double> demands; ///< Offered concurrency by client region, smoothed.
    MovementHistory history;
    Timestamp lastStep;
    double initialMovement = 0; ///< Movement that was left when the running shift began; 0 when no shift runs.
    double remainingMovement = 0; ///< Movement left until the plan is reached; the maximum over all rows.
    Duration minQueueDelay {}; ///< Over the open zones with capacity.
    bool hasOpenZone = false;
    bool hasCapacity = false; ///< Some open zone has capacity.
    bool hasServed = false; ///< A request was steered or rows were adopted: rows move only within the cap.
};

} // namespace saltvane::steering
