/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "trafficfleet.h"

#include <gtest/gtest.h>

namespace saltvane::fleet::test {

namespace {

constexpr size_t MinSurplus = 100; ///< Second responses that gateways get in each run at least.

/// Plays targets that send second responses, with as many requests as they can run, so that they refuse some.
void checkResponsesAreAttributed(unsigned int seed, const CrashingTargets::Surplus& surplus)
{
    TrafficFleet fleet(seed, {.count = 6, .queue = 1}, {.gateways = 3}, {.requestsPerSecond = 120});
    fleet.targets().setSurplus(surplus);
    fleet.run(30s);
    EXPECT_GT(fleet.targets().surplusSent(), MinSurplus);
    EXPECT_EQ(fleet.misattributedResponses(), 0U) << "seed " << seed;
    EXPECT_LE(fleet.targets().maxRunsOfAtMostOnce(), 1U) << "seed " << seed;
    EXPECT_EQ(fleet.untrueRefusals(), 0U) << "seed " << seed;
}

} // namespace

// Guards against second responses of a target that count as the response to the next request on their connection.
TEST(SurplusResponseTest, ResponsesOfOtherRequestsAreNotForwarded)
{
    for (const unsigned int seed : {1U, 2U})
        checkResponsesAreAttributed(seed, {.rate = 0.2, .failed = 0.3});
}

// Guards against refusals without a request id that count for a request which the target runs: it is repeated
// elsewhere, or its caller is told that it has not run.
TEST(SurplusResponseTest, ResponsesWithoutIdDoNotCountAsRefusals)
{
    for (const unsigned int seed : {1U, 2U})
        checkResponsesAreAttributed(seed, {.rate = 0.2, .withoutId = 0.5, .failed = 0.3});
}

} // namespace saltvane::fleet::test
