/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/servingdeployment.h"

namespace saltvane::host {

using namespace fakes;

namespace {

constexpr Duration StopTimeout = 30s;

void stopAndWait(ServingDeployment& serving, const HostId& id)
{
    FakeHost& host = serving.deployment.host(id);
    host.requestStop();
    EXPECT_TRUE(serving.deployment.time().runUntil([&] { return host.stopFinished().has_value(); }, StopTimeout))
        << id.value() << " does not end its planned stop" << serving.deployment.describe();
    EXPECT_EQ(host.stopFinished().value_or(StopFinished {1}).requestsCut, 0U) << id.value();
    serving.run(10ms);
}

} // namespace

TEST(PlannedStopTests, HostsStoppedInTurnTerminateNoRequest)
{
    ServingDeployment serving({.requestsPerSecond = 100});
    for (FakeTarget* target : serving.deployment.targets())
        target->setServiceTime(200ms);
    serving.run(2s);
    for (const char* host : {"gye-urdesa-1", "uio-cumbaya-1", "cue-yanuncay-2"}) {
        const uint64_t broken = serving.load.record().broken;
        const uint64_t unknown = serving.load.record().unknown;
        stopAndWait(serving, HostId(host));
        EXPECT_EQ(serving.load.record().unknown, unknown) << serving.load.summary();
        EXPECT_EQ(serving.load.record().broken, broken) << serving.load.summary();
        serving.deployment.host(HostId(host)).start();
        serving.run(2s);
    }
    serving.finish();
}

TEST(PlannedStopTests, StoppedControlLeaderTerminatesNoRequest)
{
    ServingDeployment serving({.requestsPerSecond = 100});
    const HostId leader = serving.deployment.controlLeader();
    stopAndWait(serving, leader);
    EXPECT_EQ(serving.load.record().unknown, 0U) << serving.load.summary();
    serving.run(4s);
    EXPECT_FALSE(serving.deployment.controlLeader().isEmpty());
    serving.finish();
}

TEST(PlannedStopTests, LongRequestsCompleteBeforeTheHostStops)
{
    ServingDeployment serving({.requestsPerSecond = 50});
    FakeDeployment& deployment = serving.deployment;
    for (FakeTarget* target : deployment.targets())
        target->setServiceTime(6s);
    std::vector<HttpReply> replies;
    for (int i = 0; i < 3; ++i) {
        deployment.http().send({.host = HostId("gye-urdesa-2"),
                                   .path = "/nav/slow",
                                   .headers = {{"Saltvane-Service", "valuator"}, {"Saltvane-Deadline-Ms", "20000"}},
                                   .remoteAddress = "10.20.0.9",
                                   .oneWayDelay = 8ms},
            [&](const HttpReply& reply) { replies.push_back(reply); });
    }
    serving.load.stop();
    serving.run(100ms);
    stopAndWait(serving, HostId("gye-urdesa-2"));
    ASSERT_EQ(replies.size(), 3U);
    for (const HttpReply& reply : replies)
        EXPECT_TRUE(reply.isComplete && reply.status == 200) << reply.status << " " << reply.body;
    serving.finish();
}

} // namespace saltvane::host
