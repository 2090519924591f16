/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "model/routeplan.h"

#include <nlohmann/json.hpp>
#include <string>

namespace saltvane::settings {

/// Reads all fields of a plan. A field that is missing or has the wrong type is reported as a finding.
[[nodiscard]] model::RoutePlan readPlanFields(
    const nlohmann::json& json, const std::string& source, Findings& findings);
/// The same for one route, which has this index in the plan.
[[nodiscard]] model::Route readPlanRoute(
    const nlohmann::json& json, size_t index, const std::string& source, Findings& findings);
/// The same for one client account, which has this index in the plan.
[[nodiscard]] model::ClientAccount readPlanAccount(
    const nlohmann::json& json, size_t index, const std::string& source, Findings& findings);

} // namespace saltvane::settings
