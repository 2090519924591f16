/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <algorithm>

namespace saltvane {

/// Token bucket that limits the rate of an action such as writing a log line or sending a report.
class TokenBucket {
public:
    struct Options {
        double perSecond = 0;
        double burst = 0; ///< Tokens that are available at once, also initially.
    };
    explicit TokenBucket(const Options& options)
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

} // namespace saltvane
