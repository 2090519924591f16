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

/// Where a caller says that it is.
struct Origin {
    std::string_view zone;
    std::string_view region;
};

/// The gateways a caller should use: those of its zone, else of its region, else all. Empty when none is known to
/// serve. `ownRegion`: of this registry host.
[[nodiscard]] std::vector<model::Address> gatewaysFor(
    const membership::IHostRoster& roster, const RegionName& ownRegion, const Origin& caller, Timestamp now);

/// Value of a query's field; empty where it is absent. Escapes are decoded.
[[nodiscard]] std::string queryValue(std::string_view target, std::string_view field);
/// The path in front of the query.
[[nodiscard]] std::string_view pathOf(std::string_view target);

} // namespace saltvane::registry
