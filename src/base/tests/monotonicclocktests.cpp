/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/monotonicclock.h"

#include <ctime>
#include <gtest/gtest.h>

/// Guards against a clock that stops while the host is suspended: after three seconds of suspension a leader's lease of
/// 0.35 s was still valid, and it answered reads from a plan that others had replaced. The linker replaces
/// clock_gettime (--wrap); the replacement adds the suspended time to CLOCK_BOOTTIME only, as the kernel does.
namespace {

constexpr time_t SuspendedSeconds = 3;
bool hasBeenSuspended = false;

} // namespace

extern "C" int __real_clock_gettime(clockid_t clock, timespec* now); // NOLINT: the linker's name
extern "C" int __wrap_clock_gettime(clockid_t clock, timespec* now); // NOLINT: the linker's name

extern "C" int __wrap_clock_gettime(clockid_t clock, timespec* now) // NOLINT: the linker's name
{
    const int result = __real_clock_gettime(clock, now);
    if (hasBeenSuspended && clock == CLOCK_BOOTTIME)
        now->tv_sec += SuspendedSeconds;
    return result;
}

namespace saltvane {
namespace {

TEST(MonotonicClockTest, CountsTimeWhileTheHostIsSuspended)
{
    const Timestamp before = monotonicNow();
    hasBeenSuspended = true;
    const Duration elapsed = monotonicNow() - before;
    hasBeenSuspended = false;
    EXPECT_GE(elapsed, 3s);
    EXPECT_LT(elapsed, 4s);
}

} // namespace
} // namespace saltvane
