/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/ratebudget.h"
#include "gateway/internal/requestrunner.h"
#include "host/hosttypes.h"

#include <string>
#include <vector>

namespace saltvane::gateway {

/// Log lines of decisions on requests, bounded: failures and refusals first, of the rest one in many; a line says how
/// many were left out.
class DecisionLog {
public:
    struct Ages {
        Duration plan {}; ///< Since the plan held here was last proven to be the newest.
        Duration word {}; ///< Since the registry was last asked something that it has answered.
    };
    void note(const Decision& decision, const Ages& ages, Timestamp now);
    /// Lines that came up since the last call.
    [[nodiscard]] std::vector<host::LogLine> take(Timestamp now);

private:
    static constexpr double LinesPerSecond = 20;
    static constexpr double MostSavedLines = 40;

    [[nodiscard]] bool mayWrite(const Decision& decision, Timestamp now);

    std::vector<host::LogLine> lines_;
    RateBudget lineBudget_ {{.perSecond = LinesPerSecond, .burst = MostSavedLines}};
    uint64_t answered_ = 0;
    uint64_t leftOut_ = 0;
    Timestamp toldAt_ {};
};

} // namespace saltvane::gateway
