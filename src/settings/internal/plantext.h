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

/// A plan's text taken apart without reading its long lists. Where every part is JSON, so is the whole.
struct PlanText {
    std::string rest; ///< The plan with these lists empty.
    std::vector<std::string_view> routes; ///< Text of each route; views of the plan's text.
    std::vector<std::string_view> accounts; ///< The same of each client account.
};

/// None where the text isn't a JSON object with one list of objects under "routes", and at the most one under
/// "client_accounts", or writes its keys with escapes.
[[nodiscard]] std::optional<PlanText> splitPlanText(std::string_view text);

} // namespace saltvane::settings
