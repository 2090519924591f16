/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/retiredtargets.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace saltvane::membership {

namespace {

constexpr size_t Capacity = 4;

model::TargetIncarnation of(const std::string& id, uint64_t incarnation)
{
    return {.target = TargetId(id), .incarnation = {incarnation}};
}

} // namespace

TEST(RetiredTargetsTest, EntryAppliesToItsIncarnationAndEarlierOnes)
{
    RetiredTargets retired(Capacity);
    EXPECT_TRUE(retired.record(of("t", 20)));
    EXPECT_TRUE(retired.blocks(of("t", 20)));
    EXPECT_TRUE(retired.blocks(of("t", 0)));
    EXPECT_FALSE(retired.blocks(of("t", 30)));
    EXPECT_FALSE(retired.record(of("t", 10)));
}

TEST(RetiredTargetsTest, EntryWithoutIncarnationBlocksAllUntilALaterEntryNamesOne)
{
    RetiredTargets retired(Capacity);
    EXPECT_TRUE(retired.record(of("t", 10)));
    EXPECT_TRUE(retired.record(of("t", 0)));
    EXPECT_FALSE(retired.record(of("t", 0)));
    EXPECT_TRUE(retired.blocks(of("t", 30)));
    EXPECT_FALSE(retired.contains(of("t", 30)));
    EXPECT_TRUE(retired.record(of("t", 20)));
    EXPECT_TRUE(retired.blocks(of("t", 20)));
    EXPECT_FALSE(retired.blocks(of("t", 30)));
}

TEST(RetiredTargetsTest, TargetsWithoutIncarnationsDoNotBlockLaterIncarnations)
{
    RetiredTargets retired(Capacity);
    EXPECT_TRUE(retired.record(RetiredTargets::entryFor(of("t", 0))));
    EXPECT_TRUE(retired.blocks(of("t", 0)));
    EXPECT_FALSE(retired.blocks(of("t", 1'700'000'000'000)));
}

// Guards against hosts that read the entries from a snapshot and know more or less than those that recorded them.
TEST(RetiredTargetsTest, WhatIsKnownFollowsFromTheEntriesThatAreKept)
{
    constexpr unsigned int Seeds = 500;
    for (unsigned int seed = 0; seed < Seeds; ++seed) {
        std::mt19937 random(seed);
        RetiredTargets retired(Capacity);
        for (int step = 0; step < 30; ++step) {
            const std::string id(1, static_cast<char>('a' + random() % 3));
            const Incarnation latest = retired.latestOf(TargetId(id));
            // The leader names no earlier incarnation than the latest that is retired.
            (void)retired.record(of(id, random() % 2 == 0 ? 0 : latest.value + random() % 3));
            RetiredTargets copy(Capacity);
            for (const model::TargetIncarnation& entry : retired.inOrder())
                (void)copy.record(entry);
            ASSERT_EQ(copy.inOrder(), retired.inOrder()) << "seed " << seed;
            for (const char* const target : {"a", "b", "c"}) {
                ASSERT_EQ(copy.latestOf(TargetId(target)), retired.latestOf(TargetId(target))) << "seed " << seed;
                ASSERT_EQ(copy.isUnresolved(TargetId(target)), retired.isUnresolved(TargetId(target)))
                    << "seed " << seed;
            }
        }
    }
}

} // namespace saltvane::membership
