/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/monotonicclock.h"

#include <ctime>
#include <gtest/gtest.h>

/// A host that was suspended for three seconds woke with beliefs as fresh as when it fell asleep: the steady clock
/// stands still meanwhile, so that a leader's lease of 0.35 s went on, and it answered reads by a plan that others had
/// replaced. Here the kernel's clocks have a stand-in (the linker puts it in place of clock_gettime), whose sleep the
/// steady one doesn't count.
namespace {

constexpr time_t SleptSeconds = 3;
bool hasSlept = false;

} // namespace

extern "C" int __real_clock_gettime(clockid_t clock, timespec* now); // NOLINT: the linker's name
extern "C" int __wrap_clock_gettime(clockid_t clock, timespec* now); // NOLINT: the linker's name

extern "C" int __wrap_clock_gettime(clockid_t clock, timespec* now) // NOLINT: the linker's name
{
    const int result = __real_clock_gettime(clock, now);
    if (hasSlept && clock == CLOCK_BOOTTIME)
        now->tv_sec += SleptSeconds;
    return result;
}

namespace saltvane {
namespace {

TEST(MonotonicClockTest, CountsTheTimeThatTheHostWasSuspended)
{
    const Timestamp before = monotonicNow();
    hasSlept = true;
    const Duration slept = monotonicNow() - before;
    hasSlept = false;
    EXPECT_GE(slept, 3s);
    EXPECT_LT(slept, 4s);
}

} // namespace
} // namespace saltvane
