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

/// Rate-limits the log lines about refused reports of targets to one a second, however many are refused.
class RefusedReports {
public:
    /// The line to write; none where one was written within the last second.
    [[nodiscard]] std::optional<host::LogLine> record(std::string_view path, const Findings& findings, Timestamp now);

private:
    static constexpr Duration LogInterval = 1s;
    static constexpr size_t MaxTextLength = 160; ///< Of untrusted text in a line.

    Timestamp nextLineAt_ {};
    uint64_t suppressedLines_ = 0;
};

} // namespace saltvane::registry
