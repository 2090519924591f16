/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace saltvane::gateway {

/// The longest of one target's recent response times. While their distribution does not change, whatever it is, at most
/// one response in MinResponses takes longer by chance.
class ResponseTimeWindow {
public:
    /// The window contains at least this many responses, and at most twice as many.
    static constexpr uint32_t MinResponses = 8;

    /// `multiple`: the response's time as a multiple of the expected one, so that different requests compare.
    void record(double multiple)
    {
        slowest_ = std::max(slowest_, static_cast<float>(multiple));
        if (++responses_ < MinResponses)
            return;
        responses_ = 0;
        isComplete_ = true;
        slowestBefore_ = std::exchange(slowest_, 0.0F);
    }
    /// None before the first MinResponses responses.
    [[nodiscard]] std::optional<double> slowest() const
    {
        return isComplete_ ? std::optional<double>(std::max(slowest_, slowestBefore_)) : std::nullopt;
    }

private:
    float slowest_ = 0; ///< Of the responses since then.
    float slowestBefore_ = 0; ///< Of the MinResponses responses before them.
    uint32_t responses_ = 0;
    bool isComplete_ = false; ///< There were MinResponses responses.
};

} // namespace saltvane::gateway
