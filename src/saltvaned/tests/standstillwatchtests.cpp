/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/stallmonitor.h"

#include <gtest/gtest.h>

namespace saltvane::saltvaned {

TEST(StallMonitorTest, ReportsAndSumsOnlyLateTicks)
{
    StallMonitor monitor;
    EXPECT_FALSE(monitor.recordTick(Timestamp(100s), 20ms));
    EXPECT_FALSE(monitor.recordTick(Timestamp(100s + 20ms), 20ms));
    EXPECT_FALSE(monitor.recordTick(Timestamp(100s + 280ms), 20ms));
    EXPECT_EQ(monitor.recordTick(Timestamp(101s + 300ms), 20ms), Duration(1s));
    EXPECT_EQ(monitor.recordTick(Timestamp(102s + 320ms), 20ms), Duration(1s));
    EXPECT_EQ(monitor.total(), Duration(2s));
}

} // namespace saltvane::saltvaned
