/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <optional>

namespace saltvane::saltvaned {

/// Detects stalls of the event loop: timers that fire late because a task took long or the host had no processor time.
class StallMonitor {
public:
    static constexpr Duration MinStall = 250ms;

    /// Must be called on each tick. Returns how late the tick is if that is at least MinStall.
    std::optional<Duration> recordTick(Timestamp now, Duration tickInterval)
    {
        const Duration lateness = lastTickAt_ == Timestamp {} ? Duration::zero() : now - lastTickAt_ - tickInterval;
        lastTickAt_ = now;
        if (lateness < MinStall)
            return std::nullopt;
        total_ += lateness;
        return lateness;
    }
    /// Sum of all stalls since the start of the process.
    [[nodiscard]] Duration total() const { return total_; }

private:
    Timestamp lastTickAt_ {};
    Duration total_ {};
};

} // namespace saltvane::saltvaned
