/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <optional>

namespace saltvane::saltvaned {

/// Notes when the loop stood still: its timers came late, since one task took long or the host had no processor time.
class StandstillWatch {
public:
    static constexpr Duration Shortest = 250ms;

    /// To be told of each tick; how long the loop stood still before it, where that is worth a line.
    std::optional<Duration> note(Timestamp now, Duration tickPeriod)
    {
        const Duration late = seenAt_ == Timestamp {} ? Duration::zero() : now - seenAt_ - tickPeriod;
        seenAt_ = now;
        if (late < Shortest)
            return std::nullopt;
        total_ += late;
        return late;
    }
    [[nodiscard]] Duration total() const { return total_; }

private:
    Timestamp seenAt_ {};
    Duration total_ {};
};

} // namespace saltvane::saltvaned
