/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targetlimits.h"

#include <gtest/gtest.h>

namespace saltvane::registry {

namespace {

const model::TargetIncarnation Start {.target = TargetId("t-1"), .incarnation = {5}};
const model::LimitId Id = model::limitIdOf(Start);
constexpr Timestamp Now {100s};

} // namespace

TEST(TargetLimitsTest, NewestNoticeWinsInAnyOrder)
{
    TargetLimits limits;
    (void)limits.record({.target = Start, .limit = 2.1, .age = 50ms}, Now);
    ASSERT_TRUE(limits.find(Id));
    EXPECT_EQ(limits.find(Id)->perSecond, 2.1);
    (void)limits.record({.target = Start, .age = 60ms}, Now);
    EXPECT_TRUE(limits.find(Id));
    (void)limits.record({.target = Start, .limit = 4, .age = 40ms}, Now);
    EXPECT_EQ(limits.find(Id)->perSecond, 4);
    (void)limits.record({.target = Start, .age = 30ms}, Now);
    EXPECT_FALSE(limits.find(Id));
    (void)limits.record({.target = Start, .limit = 4, .age = 40ms}, Now);
    EXPECT_FALSE(limits.find(Id));
}

// Guards against gateways that missed the end of a limit and wait for its credits forever.
TEST(TargetLimitsTest, OlderNoticeIsAnsweredWithTheNewer)
{
    TargetLimits limits;
    EXPECT_FALSE(limits.record({.target = Start, .limit = 0, .age = 50ms}, Now));
    EXPECT_FALSE(limits.record({.target = Start, .age = 10ms}, Now));
    const auto newer = limits.record({.target = Start, .limit = 0, .age = 50ms}, Now);
    ASSERT_TRUE(newer);
    EXPECT_FALSE(newer->limit);
    EXPECT_EQ(newer->age, 10ms);
    EXPECT_FALSE(limits.record({.target = Start, .age = 50ms}, Now));
}

TEST(TargetLimitsTest, LimitAppliesToOneIncarnation)
{
    TargetLimits limits;
    (void)limits.record({.target = Start, .limit = 2.1}, Now);
    EXPECT_FALSE(limits.find(model::limitIdOf(model::TargetIncarnation {.target = Start.target, .incarnation = {6}})));
}

TEST(TargetLimitsTest, TargetWithZeroLimitStillGetsOccasionalRequests)
{
    TargetLimits limits;
    (void)limits.record({.target = Start, .limit = 0}, Now);
    constexpr double SlackOfFourSeconds = 5;
    EXPECT_GT(limits.find(Id)->perSecond, 0);
    EXPECT_LT(limits.find(Id)->perSecond * 4 + limits.find(Id)->burst, SlackOfFourSeconds);
}

TEST(TargetLimitsTest, ChangesAreForwardedOnce)
{
    TargetLimits limits;
    (void)limits.record({.target = Start, .limit = 2.1, .age = 50ms}, Now);
    EXPECT_EQ(limits.drainUpdates(Now).size(), 1U);
    (void)limits.record({.target = Start, .limit = 2.1, .age = 10ms}, Now + 1s);
    EXPECT_TRUE(limits.drainUpdates(Now + 1s).empty());
    EXPECT_EQ(limits.all(Now + 1s).size(), 1U);
    (void)limits.record({.target = Start}, Now + 2s);
    EXPECT_EQ(limits.drainUpdates(Now + 2s).size(), 1U);
    EXPECT_TRUE(limits.all(Now + 2s).empty());
}

TEST(TargetLimitsTest, UnreportedLimitExpires)
{
    TargetLimits limits;
    (void)limits.record({.target = Start, .limit = 2.1}, Now);
    (void)limits.record({.target = Start, .limit = 2.1}, Now + 1s);
    limits.expire(Now + TargetLimits::RetentionTime);
    EXPECT_TRUE(limits.find(Id));
    limits.expire(Now + 1s + TargetLimits::RetentionTime);
    EXPECT_FALSE(limits.find(Id));
}

} // namespace saltvane::registry
