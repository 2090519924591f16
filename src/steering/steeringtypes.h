/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "model/hostmessages.h"
#include "model/reasons.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace saltvane::steering {

/// Usable capacity of one zone for one service, summed over the live owner hosts in the zone. A zone without an entry
/// has none.
struct ZoneRoom {
    ServiceIndex service;
    ZoneIndex zone;
    uint32_t room = 0; ///< Requests in flight that the owners accept, those already running included.
    uint32_t inFlight = 0;
    uint32_t queued = 0;
    Duration queueDelay {};
};

/// Concurrency that one client region offers to a service, summed over all live hosts.
struct RegionDemand {
    ServiceIndex service;
    RegionIndex clientRegion;
    double concurrency = 0;
};

struct ChoiceQuery {
    ServiceIndex service;
    RegionIndex clientRegion;
    std::span<const ZoneIndex> excludedZones; ///< Already tried by this request.
    bool isRetry = false; ///< A retry outside the row's zone counts as a diversion against the cap.
    /// The row's zone from an earlier call for the same request (Choice, Refusal). Without it each further call would
    /// draw a zone and count a request again, so that requests could leave a zone without credit beyond the shift cap.
    std::optional<ZoneIndex> rowZone;
};

struct Choice {
    ZoneIndex zone;
    bool isDiverted = false; ///< The zone is not the row's zone.
    std::optional<ZoneIndex> rowZone; ///< The zone that the row gives.
};

struct Refusal {
    model::Reason reason = model::Reason::NoRoom;
    Duration retryAfter {};
    std::optional<ZoneIndex> rowZone; ///< The zone that the row gives; passed on in the next query for this request.
};

/// The announced state of a target that this host owns, as the pool needs it.
struct PoolTarget {
    TargetId target;
    Incarnation incarnation;
    ServiceName service;
    model::Address address;
    uint32_t slots = 0;
    uint32_t connections = 0;
    bool isLeaving = false;
    /// Slots that the target reports as used by others than this owner; can only lower the usable capacity.
    uint32_t reportedBusyElsewhere = 0;
    /// Requests of the previous owner that still run on the target.
    uint32_t foreignInFlight = 0;
    /// Concurrency limit reached by slow start so far; 0 starts cold.
    uint32_t concurrencyLimit = 0;
};

/// Outcome of one dispatch to a target.
enum class DispatchResult { Answered, Shed, Failed, Cancelled };

/// Usable capacity of the pool for one service.
struct PoolRoom {
    ServiceName service;
    uint32_t targets = 0;
    uint32_t slots = 0; ///< Of targets that accept new work.
    uint32_t room = 0; ///< Slots usable now, after limits, ejections and reports, those in use included.
    uint32_t inFlight = 0;
};

/// State of one target, for status pages and hand-over.
struct PoolTargetStatus {
    TargetId target;
    Incarnation incarnation;
    uint32_t inFlight = 0;
    uint32_t concurrencyLimit = 0;
    bool isEjected = false;
    Duration latency {}; ///< As observed by this host, smoothed.
};

} // namespace saltvane::steering
