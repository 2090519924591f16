/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/responsetimewindow.h"

#include <gtest/gtest.h>

#include <random>

namespace saltvane::gateway::test {

TEST(ResponseTimeWindowTest, ContainsNothingUntilItIsFull)
{
    ResponseTimeWindow window;
    for (uint32_t response = 1; response < ResponseTimeWindow::MinResponses; ++response) {
        window.record(2);
        EXPECT_FALSE(window.slowest());
    }
    window.record(1);
    EXPECT_EQ(window.slowest(), 2);
}

TEST(ResponseTimeWindowTest, SlowResponseIsForgottenAfterTwoWindows)
{
    ResponseTimeWindow window;
    window.record(9);
    for (uint32_t response = 0; response < 2 * ResponseTimeWindow::MinResponses - 2; ++response)
        window.record(1);
    EXPECT_EQ(window.slowest(), 9);
    window.record(1);
    EXPECT_EQ(window.slowest(), 1);
}

TEST(ResponseTimeWindowTest, UpperQuartileIsOfTheLatestFullWindow)
{
    ResponseTimeWindow window;
    for (const double multiple : {8, 1, 7, 2, 6, 3, 5, 4}) {
        EXPECT_EQ(window.upperQuartile(), 0);
        window.record(multiple);
    }
    EXPECT_EQ(window.upperQuartile(), 6);
    for (uint32_t response = 0; response < ResponseTimeWindow::MinResponses; ++response)
        window.record(1);
    EXPECT_EQ(window.upperQuartile(), 1);
}

TEST(ResponseTimeWindowTest, LatenessIsCheckedOncePerWindow)
{
    ResponseTimeWindow window;
    EXPECT_FALSE(window.tryCheckLateness());
    for (uint32_t round = 0; round < 2; ++round) {
        for (uint32_t response = 0; response < ResponseTimeWindow::MinResponses; ++response)
            window.record(1);
        EXPECT_TRUE(window.tryCheckLateness());
        EXPECT_FALSE(window.tryCheckLateness());
    }
}

// Guards against probes by the thousand where response times vary widely.
TEST(ResponseTimeWindowTest, FewResponsesAreSlowerThanTheWindowByChance)
{
    constexpr uint32_t Responses = 64'000;
    std::mt19937 random(7);
    std::lognormal_distribution<double> heavyTailed(0, 2);
    ResponseTimeWindow window;
    uint32_t slower = 0;
    for (uint32_t response = 0; response < Responses; ++response) {
        const double multiple = heavyTailed(random);
        slower += multiple > window.slowest().value_or(multiple) ? 1 : 0;
        window.record(multiple);
    }
    EXPECT_LE(slower, Responses / ResponseTimeWindow::MinResponses);
    EXPECT_GT(slower, 0U);
}

} // namespace saltvane::gateway::test
