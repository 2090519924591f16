/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <ctime>

namespace saltvane {

/// The clock for all decisions: it never steps, and it includes the time during which the host was suspended.
/// CLOCK_MONOTONIC excludes that time: a leader suspended for three seconds would resume with its lease of a third of a
/// second still valid, and serve a plan that was replaced. Only adapters read the clock; cores receive the time as an
/// argument.
[[nodiscard]] inline Timestamp monotonicNow()
{
    timespec now {};
    (void)::clock_gettime(CLOCK_BOOTTIME, &now); // Fails only on kernels before 2.6.39.
    return Timestamp(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace saltvane
