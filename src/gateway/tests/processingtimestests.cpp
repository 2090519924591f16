/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/processingtimes.h"

#include <gtest/gtest.h>

namespace saltvane::gateway::test {

namespace {

const ServiceName Wallet {"wallet"};
const model::RouteName Reads {"reads"};
const model::RouteName Redeems {"redeems"};

void learn(ProcessingTimes& times, const model::RouteName& route, Duration duration, int answers)
{
    for (int i = 0; i < answers; ++i)
        times.record(Wallet, route, {.choice = Choice::First, .duration = duration});
}

} // namespace

// Guards against one mean for all routes of a service: with reads of 180 ms and redemptions of 60 ms, the latter with
// an objective of 150 ms, redemptions were refused four to six times as often as reads.
TEST(ProcessingTimesTest, RoutesOfOneServiceAreLearntSeparately)
{
    ProcessingTimes times;
    for (int i = 0; i < 200; ++i) {
        learn(times, Reads, 180ms, 3);
        learn(times, Redeems, 60ms, 1);
    }
    EXPECT_NEAR(toSeconds(times.ofRoute(Wallet, Reads).first), 0.180, 0.005);
    EXPECT_NEAR(toSeconds(times.ofRoute(Wallet, Redeems).first), 0.060, 0.005);
    EXPECT_GT(times.ofService(Wallet).first, 130ms);
}

TEST(ProcessingTimesTest, NewRouteStartsWithTimesOfItsService)
{
    ProcessingTimes times;
    learn(times, Reads, 180ms, 200);
    EXPECT_EQ(times.ofRoute(Wallet, Redeems).first, times.ofService(Wallet).first);
}

// Guards against fixed initial times: when a service with cold objects started that takes twice as long as another,
// each target was checked as stalled before its first response could arrive, and queues were estimated at half their
// length.
TEST(ProcessingTimesTest, InitialTimesScaleWithObjective)
{
    const ServiceName slow("slow");
    ProcessingTimes times;
    times.initialize(Wallet, 400ms);
    times.initialize(slow, 800ms);
    times.initialize(slow, 100ms); // The first requested route determines the times of the service.
    EXPECT_EQ(times.ofService(slow).first, times.ofService(Wallet).first * 2);
    EXPECT_EQ(times.ofService(slow).slowest, times.ofService(Wallet).slowest * 2);
    EXPECT_GT(times.ofService(slow).slowest, 1280ms); // Time of a run with a cold object.
    learn(times, Reads, 90ms, 200);
    times.initialize(Wallet, 800ms);
    EXPECT_LT(times.ofService(Wallet).first, 100ms);
}

TEST(ProcessingTimesTest, ResponsesThatQueuedDoNotCount)
{
    ProcessingTimes times;
    learn(times, Reads, 180ms, 200);
    times.record(Wallet, Reads, {.choice = Choice::First, .duration = 2s, .hasQueued = true});
    EXPECT_LT(times.ofRoute(Wallet, Reads).first, 190ms);
}

TEST(ProcessingTimesTest, NumberOfRoutesIsBounded)
{
    ProcessingTimes times;
    for (int i = 0; i < 5000; ++i)
        learn(times, model::RouteName("route-" + std::to_string(i)), 180ms, 1);
    learn(times, Redeems, 60ms, 200);
    EXPECT_EQ(times.ofRoute(Wallet, Redeems).first, times.ofService(Wallet).first);
}

// Guards against underestimated queues: after the loss of a zone the objects of its targets are cold elsewhere, and a
// queue of cold work takes three times as long as one of warm work.
TEST(ProcessingTimesTest, QueueEstimateFollowsSentRequests)
{
    ProcessingTimes times;
    learn(times, Reads, 75ms, 200);
    for (int i = 0; i < 200; ++i)
        times.recordSent(Wallet, 75ms);
    EXPECT_NEAR(toSeconds(times.meanOfSent(Wallet)), 0.075, 0.005);
    for (int i = 0; i < 60; ++i)
        times.recordSent(Wallet, 244ms);
    EXPECT_GT(times.meanOfSent(Wallet), 200ms);
}

} // namespace saltvane::gateway::test
