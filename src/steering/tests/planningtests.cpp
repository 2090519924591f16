/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/tests/steeringfixture.h"

namespace saltvane::steering {
namespace {

class PlanningTest : public SteeringFixture { };

TEST_F(PlanningTest, NearestZonesShareTheRowWhileCapacityLasts)
{
    start();
    EXPECT_NEAR(share(RegionA, "a1"), 0.5, 1e-9);
    EXPECT_NEAR(share(RegionA, "a2"), 0.5, 1e-9);
    EXPECT_NEAR(share(RegionC, "c1"), 0.5, 1e-9);
}

TEST_F(PlanningTest, DemandOverTheTargetUtilisationSpills)
{
    start();
    demands_ = {240, 20, 20};
    steering_ = makeSteering({.seed = 1});
    steering_->install(deploy(smallBundle()), now_);
    sendUpdate();
    EXPECT_NEAR(share(RegionA, "a1"), 90.0 / 240, 1e-9);
    for (const char* zone : {"b1", "b2", "c1", "c2"})
        EXPECT_NEAR(share(RegionA, zone), 15.0 / 240, 1e-9) << zone;
    EXPECT_NEAR(share(RegionB, "b1"), 0.5, 1e-9)
        << "requests that spill over must not displace those of the zone's own region";
}

TEST_F(PlanningTest, OverloadedRegionIsSpreadOverAllCapacity)
{
    start();
    demands_ = {1000, 0, 0};
    steering_ = makeSteering({.seed = 1});
    steering_->install(deploy(smallBundle()), now_);
    sendUpdate();
    EXPECT_NEAR(share(RegionA, "a1"), 1.0 / 6, 0.01);
    double sum = 0;
    for (const char* zone : {"a1", "a2", "b1", "b2", "c1", "c2"})
        sum += share(RegionA, zone);
    EXPECT_NEAR(sum, 1, 1e-9);
}

TEST_F(PlanningTest, HeadroomObjectiveEqualisesUtilisation)
{
    auto bundle = smallBundle();
    bundle.objective = model::Objective::Headroom;
    start(bundle);
    demands_ = {170, 100, 100};
    steering_ = makeSteering({.seed = 1});
    steering_->install(deploy(bundle), now_);
    sendUpdate();
    const double used = 170 * (share(RegionA, "a1") + share(RegionA, "a2"));
    EXPECT_LT(used, 200 * 0.66) << "by delay alone the zones of a would be used at 85 of 100";
    EXPECT_GT(used, 200 * 0.6);
}

TEST_F(PlanningTest, ClosedZoneGetsNothingAndHalfOpenZoneLess)
{
    auto bundle = smallBundle();
    setOpen(bundle, "a1", 0);
    setOpen(bundle, "b1", 0.5);
    start(bundle);
    EXPECT_EQ(share(RegionA, "a1"), 0);
    EXPECT_NEAR(share(RegionB, "b1"), 1.0 / 3, 1e-9);
}

TEST_F(PlanningTest, WithoutKnownCapacityTheNearestOpenZonesShareTheRow)
{
    auto bundle = smallBundle();
    setOpen(bundle, "a1", 0);
    setOpen(bundle, "a2", 0);
    steering_ = makeSteering({.seed = 1});
    steering_->install(deploy(bundle), now_);
    EXPECT_EQ(share(RegionA, "a1"), 0);
    EXPECT_NEAR(share(RegionA, "b1") + share(RegionA, "c1"), 0.5, 1e-9);
    EXPECT_NEAR(share(RegionB, "b1"), 0.5, 1e-9);
}

TEST_F(PlanningTest, LinkLimitBoundsTheSpillToARegion)
{
    auto bundle = smallBundle();
    bundle.linkLimits.push_back({.from = RegionName("a"), .to = RegionName("b"), .requestsInFlight = 10});
    start(bundle);
    demands_ = {240, 20, 20};
    steering_ = makeSteering({.seed = 1});
    steering_->install(deploy(bundle), now_);
    sendUpdate();
    const double toB = 240 * (share(RegionA, "b1") + share(RegionA, "b2"));
    EXPECT_GT(toB, 0);
    EXPECT_LE(toB, 10);
    EXPECT_NEAR(240 * (share(RegionA, "c1") + share(RegionA, "c2")), 60 - toB, 1e-6);
}

TEST_F(PlanningTest, NoiseInDemandAndCapacityMovesNoRows)
{
    start();
    demands_ = {180, 60, 60}; // At the target utilisation, where every change of demand or capacity changes the plan.
    ASSERT_TRUE(choose().isOk());
    auto last = steering_->rows();
    int moves = 0;
    for (int step = 0; step < 1200; ++step) {
        demands_[0] = step % 2 == 0 ? 172 : 188;
        rooms_[0] = step % 3 == 0 ? 99 : 101;
        sendUpdate();
        runFor(100ms);
        const bool isSettled = step >= 300;
        moves += isSettled && steering_->rows() != last ? 1 : 0;
        last = steering_->rows();
    }
    EXPECT_EQ(moves, 0);
}

TEST_F(PlanningTest, ZoneThatWarmsUpGetsShareAsItsCapacityGrows)
{
    start();
    rooms_[0] = 0;
    for (int second = 0; second < 60; ++second) {
        sendUpdate();
        runFor(1s);
    }
    ASSERT_TRUE(choose().isOk());
    ASSERT_EQ(share(RegionA, "a1"), 0);
    double last = 0;
    for (uint32_t capacity = 1; capacity <= 64; capacity *= 2) {
        rooms_[0] = capacity;
        sendUpdate();
        runFor(10s);
        EXPECT_GT(share(RegionA, "a1"), last) << "capacity " << capacity;
        last = share(RegionA, "a1");
    }
}

TEST_F(PlanningTest, OwnDemandFollowsLittlesLawAndExcludesNetworkDelay)
{
    auto bundle = smallBundle();
    setOpen(bundle, "a1", 0);
    setOpen(bundle, "a2", 0);
    start(bundle);
    for (int step = 0; step < 2000; ++step) { // 50 requests a second, each 20 ms of service and 70 ms of network delay.
        tick();
        steering_->recordRequestCompletion(Pricing, RegionA, 90ms, now_);
    }
    EXPECT_NEAR(steering_->ownDemand()[0].concurrency, 50 * 0.020, 0.05);
    runFor(30s);
    EXPECT_LT(steering_->ownDemand()[0].concurrency, 0.001);
}

} // namespace
} // namespace saltvane::steering
