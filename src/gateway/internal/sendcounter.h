/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace saltvane::gateway {

/// Counts requests by the second in which they were sent.
class SendCounter {
public:
    void record(Timestamp now)
    {
        moveTo(now);
        ++current_;
    }
    /// Requests in the busier one of the current second and the one before.
    [[nodiscard]] uint32_t recent(Timestamp now)
    {
        moveTo(now);
        return std::max(current_, previous_);
    }

private:
    void moveTo(Timestamp now)
    {
        const auto second = std::chrono::floor<std::chrono::seconds>(now);
        if (second == second_)
            return;
        previous_ = second - second_ == std::chrono::seconds(1) ? current_ : 0;
        current_ = 0;
        second_ = second;
    }

    std::chrono::time_point<Timestamp::clock, std::chrono::seconds> second_ {};
    uint32_t current_ = 0;
    uint32_t previous_ = 0;
};

} // namespace saltvane::gateway
