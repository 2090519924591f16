/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "steering/internal/demandmeter.h"
#include "steering/internal/routetable.h"

#include <cstdint>
#include <span>
#include <vector>

namespace saltvane::steering {

/// Zones with the same delay that single requests may be diverted to.
struct DiversionTier {
    std::vector<ZoneIndex> zones;
};

/// The route row of one client region for one service, with the state needed to choose a zone.
struct RouteRowState {
    /// Rebuilds the table from the shares; to be called after each change of them.
    void compile() { table.compile(std::span(shares).first(shares.size() - 1)); }

    std::vector<double> shares; ///< By zone; the last entry is the unassigned share.
    std::vector<double> plan; ///< The shares that the row moves to.
    RouteTable table; ///< Compiled from `shares`.
    std::vector<DiversionTier> diversions; ///< Open zones that have not failed, nearest first.
    uint64_t point = 0; ///< Current point of the low-discrepancy sequence.
    DemandMeter demand;
    Duration networkDelay {}; ///< Round trip to the row's zones, weighted by its shares.
};

} // namespace saltvane::steering
