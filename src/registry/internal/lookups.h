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

/// The gateways a caller of this zone and region should use: those of its zone, else of its region, else all. Empty
/// when none is known to serve.
[[nodiscard]] std::vector<model::Address> gatewaysFor(
    const membership::IHostRoster& roster, std::string_view zone, std::string_view region, Timestamp now);

/// Value of a query's field; empty where it is absent. Escapes are decoded.
[[nodiscard]] std::string queryValue(std::string_view target, std::string_view field);
/// The path in front of the query.
[[nodiscard]] std::string_view pathOf(std::string_view target);

} // namespace saltvane::registry
