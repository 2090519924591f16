/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "host/hosttypes.h"

#include <optional>
#include <string_view>

namespace saltvane::registry {

/// Log lines of targets' reports that were refused: one a second at the most, whoever sends how many.
class RefusedReports {
public:
    /// The line to write; none where one was written lately.
    [[nodiscard]] std::optional<host::LogLine> note(std::string_view path, const Findings& findings, Timestamp now);

private:
    static constexpr Duration LinePeriod = 1s;
    static constexpr size_t LongestText = 160; ///< Of what a stranger may put into a line.

    Timestamp nextLineAt_ {};
    uint64_t leftOut_ = 0;
};

} // namespace saltvane::registry
