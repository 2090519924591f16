/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/worktimes.h"

#include <gtest/gtest.h>

namespace saltvane::gateway::test {

namespace {

const ServiceName Wallet {"wallet"};
const model::RouteName Reads {"reads"};
const model::RouteName Redeems {"redeems"};

void learn(WorkTimes& times, const model::RouteName& route, Duration taken, int answers)
{
    for (int i = 0; i < answers; ++i)
        times.note(Wallet, route, {.choice = Choice::First, .taken = taken});
}

} // namespace

// The pattern: one service runs reads of 180 ms and redemptions of 60 ms, the latter with an objective of 150 ms.
// Judged by the mean of both, redemptions were refused four to six times as often as reads.
TEST(WorkTimesTest, RoutesOfOneServiceAreLearntApart)
{
    WorkTimes times;
    for (int i = 0; i < 200; ++i) {
        learn(times, Reads, 180ms, 3);
        learn(times, Redeems, 60ms, 1);
    }
    EXPECT_NEAR(toSeconds(times.ofRoute(Wallet, Reads).first), 0.180, 0.005);
    EXPECT_NEAR(toSeconds(times.ofRoute(Wallet, Redeems).first), 0.060, 0.005);
    EXPECT_GT(times.ofService(Wallet).first, 130ms);
}

TEST(WorkTimesTest, ANewRouteStartsWithItsServicesTimes)
{
    WorkTimes times;
    learn(times, Reads, 180ms, 200);
    EXPECT_EQ(times.ofRoute(Wallet, Redeems).first, times.ofService(Wallet).first);
}

// The pattern: a service whose work takes twice as long as another's starts, with every object cold. Judged by the
// times of the other one, each target was doubted before its first answer could come, and queues were thought half as
// long.
TEST(WorkTimesTest, BeforeAnyAnswerTheObjectiveTellsHowLongWorkTakes)
{
    const ServiceName slow("slow");
    WorkTimes times;
    times.noteAsked(Wallet, 400ms);
    times.noteAsked(slow, 800ms);
    times.noteAsked(slow, 100ms); // The first route that is asked for stands for its service.
    EXPECT_EQ(times.ofService(slow).first, times.ofService(Wallet).first * 2);
    EXPECT_EQ(times.ofService(slow).slowest, times.ofService(Wallet).slowest * 2);
    EXPECT_GT(times.ofService(slow).slowest, 1280ms); // A cold run.
    learn(times, Reads, 90ms, 200);
    times.noteAsked(Wallet, 800ms);
    EXPECT_LT(times.ofService(Wallet).first, 100ms);
}

TEST(WorkTimesTest, AnswersThatWaitedTellNothingOfTheWork)
{
    WorkTimes times;
    learn(times, Reads, 180ms, 200);
    times.note(Wallet, Reads, {.choice = Choice::First, .taken = 2s, .hasWaited = true});
    EXPECT_LT(times.ofRoute(Wallet, Reads).first, 190ms);
}

TEST(WorkTimesTest, RoutesAreBoundedInNumber)
{
    WorkTimes times;
    for (int i = 0; i < 5000; ++i)
        learn(times, model::RouteName("route-" + std::to_string(i)), 180ms, 1);
    learn(times, Redeems, 60ms, 200);
    EXPECT_EQ(times.ofRoute(Wallet, Redeems).first, times.ofService(Wallet).first);
}

// The pattern: a zone is lost, and the objects of its targets are cold elsewhere: a queue of cold work lasts three
// times as long as one of warm work.
TEST(WorkTimesTest, AQueueIsJudgedByTheWorkThatIsSent)
{
    WorkTimes times;
    learn(times, Reads, 75ms, 200);
    for (int i = 0; i < 200; ++i)
        times.noteSent(Wallet, 75ms);
    EXPECT_NEAR(toSeconds(times.sentTo(Wallet)), 0.075, 0.005);
    for (int i = 0; i < 60; ++i)
        times.noteSent(Wallet, 244ms);
    EXPECT_GT(times.sentTo(Wallet), 200ms);
}

} // namespace saltvane::gateway::test
