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

/// The fields of a plan, whole; what is missing or of the wrong type becomes a finding.
[[nodiscard]] model::RoutePlan readPlanFields(
    const nlohmann::json& json, const std::string& source, Findings& findings);
/// The same of the plan's route with this index.
[[nodiscard]] model::Route readPlanRoute(
    const nlohmann::json& json, size_t index, const std::string& source, Findings& findings);
/// The same of the plan's client account with this index.
[[nodiscard]] model::ClientAccount readPlanAccount(
    const nlohmann::json& json, size_t index, const std::string& source, Findings& findings);

} // namespace saltvane::settings
