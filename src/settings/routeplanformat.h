/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "model/routeplan.h"

#include <string>
#include <string_view>

namespace saltvane::settings {

/// Parses and checks a route plan (JSON, docs/ROUTES.md). Reports all findings with their locations. Unknown fields are
/// ignored, so that a newer operator tool works with an older host.
[[nodiscard]] Result<model::RoutePlan, Findings> parseRoutePlan(std::string_view text, const std::string& sourceName);

/// The plan's text with empty lists of routes and client accounts, which is cheap to parse. Returns the text unchanged
/// if it has no list of routes.
[[nodiscard]] std::string planWithoutLists(std::string_view plan);

} // namespace saltvane::settings
