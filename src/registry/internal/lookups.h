/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/ihostroster.h"

#include <string_view>
#include <vector>

namespace saltvane::registry {

/// Zone and region that a caller names as its own.
struct Origin {
    std::string_view zone;
    std::string_view region;
};

/// The gateways with a recent heartbeat that serve callers, sorted by host: those that reach targets; if there are
/// none, those that don't. `ownRegion`: the region of this registry host.
[[nodiscard]] std::vector<const membership::RosterEntry*> servingGateways(
    const membership::IHostRoster& roster, const RegionName& ownRegion, Timestamp now);
/// The gateways that a caller should use: those of its zone, else of its region, else all. Empty when none is known to
/// serve.
[[nodiscard]] std::vector<model::Address> gatewaysFor(
    const membership::IHostRoster& roster, const RegionName& ownRegion, const Origin& caller, Timestamp now);

/// The percent-decoded value of a query field; empty where it is absent.
[[nodiscard]] std::string queryValue(std::string_view target, std::string_view field);
/// The path without the query.
[[nodiscard]] std::string_view pathOf(std::string_view target);

} // namespace saltvane::registry
