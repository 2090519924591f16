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

/// Reads a route plan (JSON, docs/ROUTES.md) and checks it whole: all findings with their places. Unknown fields are
/// ignored, so that a newer operators' tool can talk to an older host.
[[nodiscard]] Result<model::RoutePlan, Findings> parseRoutePlan(std::string_view text, const std::string& sourceName);

/// The plan's text with its lists of routes and client accounts empty, which costs little to parse; the text itself
/// where it has no list of routes.
[[nodiscard]] std::string withoutLists(std::string_view plan);

} // namespace saltvane::settings
