/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

namespace saltvane::host {

/// Paces work that is checked at each tick: true at the first call, then at most once an interval.
class PeriodicTimer {
public:
    explicit PeriodicTimer(Duration interval)
        : interval_(interval)
    {
    }
    [[nodiscard]] bool isTimeToRun(Timestamp now)
    {
        if (hasRun_ && now - lastRun_ < interval_)
            return false;
        hasRun_ = true;
        lastRun_ = now;
        return true;
    }

private:
    Duration interval_;
    Timestamp lastRun_;
    bool hasRun_ = false;
};

} // namespace saltvane::host
