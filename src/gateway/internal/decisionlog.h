/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/tokenbucket.h"
#include "gateway/internal/requestrunner.h"
#include "host/hosttypes.h"

#include <string>
#include <vector>

namespace saltvane::gateway {

/// Log lines of request outcomes, rate limited: every failure and refusal as far as the rate allows, and one in many
/// answered requests. A summary line counts the suppressed lines.
class DecisionLog {
public:
    struct Ages {
        Duration plan {}; ///< Since the current plan was last proven to be the newest.
        Duration registry {}; ///< Since the latest request to the registry that has been answered.
    };
    void logDecision(const Decision& decision, const Ages& ages, Timestamp now);
    /// Lines logged since the last call.
    [[nodiscard]] std::vector<host::LogLine> drainLogLines(Timestamp now);

private:
    static constexpr double MaxLogLinesPerSecond = 20;
    static constexpr double MaxLogLineBurst = 40;

    [[nodiscard]] bool mayLog(const Decision& decision, Timestamp now);

    std::vector<host::LogLine> logLines_;
    TokenBucket logLineBudget_ {{.perSecond = MaxLogLinesPerSecond, .burst = MaxLogLineBurst}};
    uint64_t answered_ = 0;
    uint64_t suppressed_ = 0;
    Timestamp suppressedCountLoggedAt_ {};
};

} // namespace saltvane::gateway
