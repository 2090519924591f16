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

/// A plan's text, split without parsing its long lists. If each part is valid JSON, the complete text is too.
struct PlanText {
    std::string remainder; ///< The plan's text with both lists empty.
    std::vector<std::string_view> routes; ///< Text of each route, as a view into the plan's text.
    std::vector<std::string_view> accounts; ///< The same for each client account.
};

/// No value if the text is not a JSON object with exactly one list of objects "routes" and at most one list
/// "client_accounts", or if a key of the object contains an escape sequence.
[[nodiscard]] std::optional<PlanText> splitPlanText(std::string_view text);

} // namespace saltvane::settings
