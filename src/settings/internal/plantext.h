/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane::settings {

/// A plan's text taken apart without reading its routes. Where every part is JSON, so is the whole.
struct PlanText {
    std::string rest; ///< The plan with an empty list of routes.
    std::vector<std::string_view> routes; ///< Text of each route; views of the plan's text.
};

/// None where the text isn't a JSON object with one list of objects under "routes", or writes its keys with escapes.
[[nodiscard]] std::optional<PlanText> splitPlanText(std::string_view text);

} // namespace saltvane::settings
