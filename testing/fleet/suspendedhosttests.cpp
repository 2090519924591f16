/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fatalfleet.h"
#include "planfleet.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>

/// Hosts whose machine was suspended for some seconds: the steady clock stands still meanwhile. Found by reading, and
/// shown here: a leader that slept while others took its place woke with its lease as it had fallen asleep, and told
/// the plan of then as the newest. The clock that all decisions go by counts sleeps (MonotonicClockTest); here hosts
/// sleep in virtual time, with such a clock and with one that stands still.
namespace saltvane::fleet::test {

namespace {

/// The version that a leader tells which slept while a newer plan was acknowledged, right as it wakes; 0: none.
uint64_t versionToldByASleeper(bool doClocksStandStill)
{
    PlanFleet fleet;
    registry::test::RegistryCluster& registries = fleet.registries();
    registries.doClocksStandStill = doClocksStandStill;
    const size_t sleeper = *registries.leader();
    registries.suspend(sleeper);
    (void)registries.runUntil([&] { return registries.leader().has_value(); }, 5s);
    fleet.putPlan();
    EXPECT_EQ(fleet.version(), 2U);
    fleet.run(500ms);
    registries.wake(sleeper);
    const auto told = registries.call(sleeper, "GET", "/v1/plan", {}, {}, 10ms);
    if (!told || told->status != 200)
        return 0;
    return nlohmann::json::parse(told->body).value("version", uint64_t {0});
}

} // namespace

TEST(SuspendedHostTest, ALeaderThatSleptTellsNoReplacedPlan)
{
    const uint64_t told = versionToldByASleeper(false);
    EXPECT_TRUE(told == 0 || told == 2) << told;
}

/// The check is able to fail.
TEST(SuspendedHostTest, WithAClockThatStandsStillItWould) { EXPECT_EQ(versionToldByASleeper(true), 1U); }

TEST(SuspendedHostTest, GatewaysThatSleptUseNoReplacedPlanOnceTheyAreInTouch)
{
    PlanFleet fleet;
    for (size_t round = 0; round < 4; ++round) {
        fleet.fleet().suspendGateway(round, 3s);
        fleet.noteFault();
        fleet.putPlan();
        fleet.run(3s);
        fleet.noteFault();
        fleet.putPlan();
        fleet.run(4s);
    }
    EXPECT_TRUE(fleet.findings().empty()) << fleet.findings().front();
}

/// Registry hosts and gateways that sleep, drawn by a seed, while plans change and a request ends targets.
TEST(SuspendedHostTest, DrawnSleepsBreakNothing)
{
    for (unsigned int seed = 1; seed <= 8; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&](size_t below) { return random() % below; };
        PlanFleet fleet;
        for (int sleep = 0; sleep < 5; ++sleep) {
            const size_t registry = draw(6);
            const std::chrono::milliseconds slept(500 + draw(4000));
            fleet.registries().suspend(registry);
            fleet.fleet().suspendGateway(draw(6), slept);
            fleet.noteFault();
            fleet.run(slept);
            fleet.putPlan();
            fleet.registries().wake(registry);
            fleet.noteFault();
            fleet.run(5s);
            fleet.putPlan();
            fleet.run(3s);
        }
        const std::vector<std::string> findings = fleet.findings();
        EXPECT_TRUE(findings.empty()) << seed << ": " << findings.front();
    }
}

TEST(SuspendedHostTest, AFatalRequestIsNotSentOnByHostsThatSlept)
{
    FatalFleet fleet(31);
    fleet.addFatalCaller("/read/fatal");
    fleet.fleet().suspendGateway(0, 4s);
    fleet.fleet().registries().suspend(1);
    fleet.run(4s);
    fleet.fleet().registries().wake(1);
    for (size_t gateway = 1; gateway < 6; ++gateway) {
        fleet.fleet().suspendGateway(gateway, 3s);
        fleet.run(2s);
    }
    fleet.run(6s);
    EXPECT_LE(fleet.runsAfterThird("/read/fatal"), 3U);
    EXPECT_EQ(fleet.tally().quarantined, 0U);
}

} // namespace saltvane::fleet::test
