/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fatalfleet.h"

#include <gtest/gtest.h>

/// Seen: a request ended each target that ran it, and came again, from the same caller, at any gateway. Nineteen sends
/// came later than 3 s after its third end, where three are allowed, and 28 targets ended; for seconds more than half
/// of all other requests were refused, failed or late. How it came about: a gateway repeated it at a second target, its
/// caller tried again at another gateway, and each of them started from nothing. Here the same happens in virtual time,
/// beside callers that do no harm, and in waves of ends that no request caused.
namespace saltvane::fleet::test {

namespace {

/// Of the users, over all gateways.
constexpr size_t MostRunsAfterThird = 3;
/// Of the requests beside a fatal one, as many are served as without it, but for those that ended with its targets.
constexpr double LeastServedBeside = 0.97;

const std::string Fatal = "/read/fatal";

double servedShare(FatalFleet& fleet)
{
    return static_cast<double>(fleet.tally().served) / static_cast<double>(fleet.tally().asked);
}

} // namespace

TEST(FatalRequestTest, IsNotSentOnOnceItEndedThreeTargets)
{
    FatalFleet fleet(1);
    fleet.addFatalCaller(Fatal);
    fleet.run(15s);
    EXPECT_LE(fleet.runsAfterThird(Fatal), MostRunsAfterThird);
    EXPECT_GE(servedShare(fleet), LeastServedBeside);
    EXPECT_EQ(fleet.tally().quarantined, 0U);
}

TEST(FatalRequestTest, ManyAtOnceAreEachFound)
{
    FatalFleet fleet(2, {.count = 36});
    for (int caller = 0; caller < 8; ++caller)
        fleet.addFatalCaller(Fatal + std::to_string(caller), 700ms);
    fleet.run(20s);
    for (int caller = 0; caller < 8; ++caller)
        EXPECT_LE(fleet.runsAfterThird(Fatal + std::to_string(caller)), MostRunsAfterThird) << caller;
    EXPECT_EQ(fleet.tally().quarantined, 0U);
}

TEST(FatalRequestTest, IsNotSentOnWhileHostsComeAndGo)
{
    FatalFleet fleet(3);
    fleet.addFatalCaller(Fatal);
    fleet.run(2s);
    for (size_t round = 0; round < 6; ++round) {
        fleet.restartGateway(round);
        fleet.fleet().killRegistry(round);
        fleet.run(1s);
        fleet.fleet().cutOffGateway((round + 2) % 6, 2s);
        fleet.run(1500ms);
        fleet.fleet().startRegistry(round);
    }
    fleet.run(5s);
    EXPECT_LE(fleet.runsAfterThird(Fatal), MostRunsAfterThird);
}

/// Waves of ends that no request caused, each of a third of the targets within a second.
TEST(CrashWaveTest, RefusesNobody)
{
    for (const unsigned int seed : {11U, 12U, 13U, 14U}) {
        FatalFleet fleet(seed);
        std::mt19937 random(seed);
        for (int wave = 0; wave < 6; ++wave) {
            for (size_t ended = 0; ended < fleet.targets().size() / 3; ++ended) {
                fleet.targets().end(random() % fleet.targets().size());
                fleet.run(std::chrono::milliseconds(random() % 300));
            }
            fleet.run(3s);
        }
        EXPECT_EQ(fleet.tally().quarantined, 0U) << seed;
        EXPECT_GT(fleet.tally().asked, 1000U);
    }
}

} // namespace saltvane::fleet::test
