/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "planfleet.h"
#include "trafficfleet.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>

/// Guards against stale state on hosts whose machine was suspended for some seconds. The steady clock stops while a
/// machine is suspended: a leader that was replaced meanwhile resumed with its old lease still valid and served its old
/// plan as the newest. All decisions therefore use a clock that counts suspended time (MonotonicClockTest). Here hosts
/// are suspended in virtual time, with such a clock and with one that stops.
namespace saltvane::fleet::test {

namespace {

/// Plan version that a leader serves right after it resumes, when a newer plan was acknowledged while it was suspended;
/// 0 if it serves none.
uint64_t versionServedAfterResume(bool doClocksStopWhileSuspended)
{
    PlanFleet fleet;
    registry::test::RegistryCluster& registries = fleet.registries();
    registries.doClocksStopWhileSuspended = doClocksStopWhileSuspended;
    const size_t suspended = *registries.leader();
    registries.suspend(suspended);
    (void)registries.runUntil([&] { return registries.leader().has_value(); }, 5s);
    fleet.putPlan();
    EXPECT_EQ(fleet.version(), 2U);
    fleet.run(500ms);
    registries.resume(suspended);
    const auto response = registries.call(suspended, "GET", "/v1/plan", {}, {}, 10ms);
    if (!response || response->status != 200)
        return 0;
    return nlohmann::json::parse(response->body).value("version", uint64_t {0});
}

} // namespace

TEST(SuspendedHostTest, AResumedLeaderServesNoReplacedPlan)
{
    const uint64_t version = versionServedAfterResume(false);
    EXPECT_TRUE(version == 0 || version == 2) << version;
}

/// Shows that the test above can fail.
TEST(SuspendedHostTest, WithAClockThatStopsItWould) { EXPECT_EQ(versionServedAfterResume(true), 1U); }

TEST(SuspendedHostTest, ResumedGatewaysUseNoReplacedPlanOnceReconnected)
{
    PlanFleet fleet;
    for (size_t round = 0; round < 4; ++round) {
        fleet.fleet().suspendGateway(round, 3s);
        fleet.recordFault();
        fleet.putPlan();
        fleet.run(3s);
        fleet.recordFault();
        fleet.putPlan();
        fleet.run(4s);
    }
    EXPECT_TRUE(fleet.findings().empty()) << fleet.findings().front();
}

/// Registry hosts and gateways are suspended at random while plans change.
TEST(SuspendedHostTest, DrawnSleepsBreakNothing)
{
    for (unsigned int seed = 1; seed <= 8; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&](size_t below) { return random() % below; };
        PlanFleet fleet;
        for (int round = 0; round < 5; ++round) {
            const size_t registry = draw(6);
            const std::chrono::milliseconds duration(500 + draw(4000));
            fleet.registries().suspend(registry);
            fleet.fleet().suspendGateway(draw(6), duration);
            fleet.recordFault();
            fleet.run(duration);
            fleet.putPlan();
            fleet.registries().resume(registry);
            fleet.recordFault();
            fleet.run(5s);
            fleet.putPlan();
            fleet.run(3s);
        }
        const std::vector<std::string> findings = fleet.findings();
        EXPECT_TRUE(findings.empty()) << seed << ": " << findings.front();
    }
}

TEST(SuspendedHostTest, AFatalRequestIsNotSentOnByResumedHosts)
{
    TrafficFleet fleet(31);
    fleet.addFatalCaller("/read/fatal");
    fleet.fleet().suspendGateway(0, 4s);
    fleet.fleet().registries().suspend(1);
    fleet.run(4s);
    fleet.fleet().registries().resume(1);
    for (size_t gateway = 1; gateway < 6; ++gateway) {
        fleet.fleet().suspendGateway(gateway, 3s);
        fleet.run(2s);
    }
    fleet.run(6s);
    EXPECT_LE(fleet.runsAfterThird("/read/fatal"), 3U);
    EXPECT_EQ(fleet.tally().quarantined, 0U);
}

} // namespace saltvane::fleet::test
