/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <utility>

namespace saltvane::gateway {

/// One target's recent response times. While their distribution does not change, whatever it is, at most one response
/// in MinResponses takes longer than the slowest one by chance.
class ResponseTimeWindow {
public:
    /// The window contains at least this many responses, and at most twice as many.
    static constexpr uint32_t MinResponses = 8;

    /// `multiple`: the response's time as a multiple of the expected one, so that different requests compare.
    void record(double multiple)
    {
        latest_.at(responses_) = static_cast<float>(multiple);
        slowest_ = std::max(slowest_, static_cast<float>(multiple));
        if (++responses_ < MinResponses)
            return;
        responses_ = 0;
        isComplete_ = true;
        slowestBefore_ = std::exchange(slowest_, 0.0F);
        const auto quartile = latest_.begin() + MinResponses * 3 / 4 - 1;
        std::ranges::nth_element(latest_, quartile);
        upperQuartile_ = *quartile;
        hasCheckedLateness_ = false;
    }
    /// Three quarters of MinResponses recent responses took at most this. 0 before that many responses.
    [[nodiscard]] double upperQuartile() const { return upperQuartile_; }
    /// Whether requests that are in flight for longer than upperQuartile() may cause a probe: once per MinResponses
    /// responses, whatever their distribution.
    [[nodiscard]] bool tryCheckLateness() { return !std::exchange(hasCheckedLateness_, true); }
    /// None before the first MinResponses responses.
    [[nodiscard]] std::optional<double> slowest() const
    {
        return isComplete_ ? std::optional<double>(std::max(slowest_, slowestBefore_)) : std::nullopt;
    }

private:
    float slowest_ = 0; ///< Of the responses since then.
    float slowestBefore_ = 0; ///< Of the MinResponses responses before them.
    std::array<float, MinResponses> latest_ {};
    float upperQuartile_ = 0;
    uint32_t responses_ = 0;
    bool isComplete_ = false; ///< There were MinResponses responses.
    bool hasCheckedLateness_ = true;
};

} // namespace saltvane::gateway
