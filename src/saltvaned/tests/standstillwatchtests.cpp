/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/standstillwatch.h"

#include <gtest/gtest.h>

namespace saltvane::saltvaned {

TEST(StandstillWatchTest, OnlyTicksThatComeLateAreToldAndAddedUp)
{
    StandstillWatch watch;
    EXPECT_FALSE(watch.note(Timestamp(100s), 20ms));
    EXPECT_FALSE(watch.note(Timestamp(100s + 20ms), 20ms));
    EXPECT_FALSE(watch.note(Timestamp(100s + 280ms), 20ms));
    EXPECT_EQ(watch.note(Timestamp(101s + 300ms), 20ms), Duration(1s));
    EXPECT_EQ(watch.note(Timestamp(102s + 320ms), 20ms), Duration(1s));
    EXPECT_EQ(watch.total(), Duration(2s));
}

} // namespace saltvane::saltvaned
