/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/refusedreports.h"

#include "base/logtext.h"

#include <utility>

namespace saltvane::registry {

std::optional<host::LogLine> RefusedReports::record(std::string_view path, const Findings& findings, Timestamp now)
{
    if (now < nextLineAt_) {
        ++suppressedLines_;
        return std::nullopt;
    }
    nextLineAt_ = now + LogInterval;
    const std::string first = findings.isEmpty() ? std::string {} : toString(findings.items().front());
    LogText text("target_report_refused");
    text.add("path", path.substr(0, MaxTextLength));
    text.add("findings", findings.items().size()).add("first", std::string_view(first).substr(0, MaxTextLength));
    text.add("left_out", std::exchange(suppressedLines_, 0));
    return host::LogLine {.severity = host::LogSeverity::Warning, .module = "registry", .text = text.text()};
}

} // namespace saltvane::registry
