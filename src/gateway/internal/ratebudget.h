/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <algorithm>

namespace saltvane::gateway {

/// Bounds how often something is done, however often there is reason to: log lines, reports.
class RateBudget {
public:
    struct Options {
        double perSecond = 0;
        double burst = 0; ///< What may be done at once, also after the start.
    };
    explicit RateBudget(const Options& options)
        : options_(options)
        , balance_(options.burst)
    {
    }

    [[nodiscard]] bool trySpend(Timestamp now)
    {
        balance_ = std::min(options_.burst, balance_ + toSeconds(now - filledAt_) * options_.perSecond);
        filledAt_ = now;
        if (balance_ < 1)
            return false;
        balance_ -= 1;
        return true;
    }

private:
    Options options_;
    double balance_;
    Timestamp filledAt_ {};
};

} // namespace saltvane::gateway
