/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace saltvane {

/// Location of a finding in its source. Lines and columns count from 1; 0 means unknown.
struct Location {
    std::string source;
    int line = 0;
    int column = 0;
    auto operator<=>(const Location&) const = default;
};

/// An error in an input.
struct Finding {
    Location location;
    std::string field;
    std::string message;
};

/// All errors in an input, so that one run reports them together.
class Findings {
public:
    void add(Finding finding);
    [[nodiscard]] bool isEmpty() const { return items_.empty(); }
    [[nodiscard]] const std::vector<Finding>& items() const { return items_; }
    /// Stable: findings at the same location keep their order.
    void sortByLocation();

private:
    std::vector<Finding> items_;
};

/// "source:line:column: field: message"
[[nodiscard]] std::string toString(const Finding& finding);

} // namespace saltvane
