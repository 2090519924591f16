/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/linkbudget.h"

#include <gtest/gtest.h>

namespace saltvane::gateway {

namespace {

model::Route largeRoute() { return {.kind = model::RouteKind::LargeRead, .objective = 800ms}; }

} // namespace

TEST(LinkBudgetTest, UnknownRateLimitsNothing)
{
    LinkBudget link(0);
    for (int i = 0; i < 1000; ++i)
        link.recordStart();
    EXPECT_TRUE(link.canCarry(largeRoute()));
}

// Guards against large responses filling the link: responses of 90 kB filled links of 4 Mbit/s, and 19,000 of 79,000
// requests reached their target later than half of their objective.
TEST(LinkBudgetTest, LargeResponsesUseAtMostAFractionOfTheObjective)
{
    LinkBudget link(4); // 500 kB per second: 90 kB take 0.18 s.
    for (int i = 0; i < 200; ++i) {
        link.recordStart();
        link.recordCompletion(90'000);
    }
    int accepted = 0;
    for (; accepted < 100 && link.canCarry(largeRoute()); ++accepted)
        link.recordStart();
    EXPECT_EQ(accepted, 2); // 0.36 s of 0.4 s.
    link.recordCompletion(90'000);
    EXPECT_TRUE(link.canCarry(largeRoute()));
}

TEST(LinkBudgetTest, OneLargeResponseIsAlwaysAccepted)
{
    LinkBudget link(0.1);
    EXPECT_TRUE(link.canCarry(largeRoute()));
}

} // namespace saltvane::gateway
