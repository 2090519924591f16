/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/servingdeployment.h"

#include <nlohmann/json.hpp>

namespace saltvane::host {

using namespace fakes;

namespace {

/// Time for which the proof of a follower or a former leader is valid.
constexpr Duration ProofLease = 1s;

std::string errorOf(const HttpReply& reply) { return nlohmann::json::parse(reply.body)["error"].get<std::string>(); }

HostId followerOf(FakeDeployment& deployment)
{
    const HostId leader = deployment.controlLeader();
    for (FakeHost* host : deployment.hosts()) {
        if (host->settings().isControl && host->settings().host != leader)
            return host->settings().host;
    }
    return {};
}

} // namespace

TEST(ControlCutOffTests, CutOffFollowerReportsThatItIsNotCurrent)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    const HostId follower = followerOf(deployment);
    EXPECT_EQ(deployment.get(follower, "/v1/control/bundles").status, 200);
    deployment.cutOff(follower);
    serving.run(ProofLease + 200ms);
    const HttpReply reply = deployment.get(follower, "/v1/control/bundles");
    EXPECT_EQ(reply.status, 503) << reply.body;
    EXPECT_EQ(errorOf(reply), "not-current") << reply.body;
    deployment.heal();
    serving.run(3s);
    EXPECT_EQ(deployment.get(follower, "/v1/control/bundles").status, 200);
    serving.finish();
}

TEST(ControlCutOffTests, CutOffLeaderNeitherAnswersNorAccepts)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    const HostId leader = deployment.controlLeader();
    deployment.cutOff(leader);
    serving.run(ProofLease + 200ms);
    const HttpReply reply = deployment.get(leader, "/v1/control/bundles");
    EXPECT_EQ(errorOf(reply), "not-current") << reply.body;
    // The other control hosts continue without it; it does not report itself as current even a long time later.
    serving.run(3s);
    const std::string second = edited(deployment.plan().bundles.front(), "version: 1", "version: 2");
    ASSERT_TRUE(deployment.putInForce(second, {2})) << deployment.describe();
    serving.run(10s);
    EXPECT_NE(deployment.controlLeader(), leader);
    EXPECT_EQ(errorOf(deployment.get(leader, "/v1/control/bundles")), "not-current");
    deployment.heal();
    EXPECT_TRUE(deployment.time().runUntil([&] { return deployment.isInForceEverywhere({2}); }, 5s));
    serving.finish();
}

TEST(ControlCutOffTests, LeaderIsNotCurrentAfterAStall)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    const HostId leader = deployment.controlLeader();
    deployment.host(leader).pause();
    HttpReply reply;
    deployment.http().send({.host = leader, .path = "/v1/control/bundles", .oneWayDelay = 1ms},
        [&](const HttpReply& received) { reply = received; });
    serving.run(4s);
    const std::string second = edited(deployment.plan().bundles.front(), "version: 1", "version: 2");
    ASSERT_TRUE(deployment.putInForce(second, {2})) << deployment.describe();
    deployment.host(leader).resume();
    serving.run(100ms);
    // The request waited while the bundle changed: a response with the old state would be wrong.
    EXPECT_EQ(errorOf(reply), "not-current") << reply.body;
    serving.run(3s);
    EXPECT_TRUE(deployment.isInForceEverywhere({2})) << deployment.describe();
    serving.finish();
}

TEST(ControlCutOffTests, ReplacedDiskNeitherLosesNorRevertsABundle)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    const HostId follower = followerOf(deployment);
    deployment.host(follower).kill();
    deployment.host(follower).disk().replace();
    deployment.host(follower).start();
    serving.run(4s);
    // The repaired replica must be a voter again: the quorum must survive the loss of another one now.
    const HostId leader = deployment.controlLeader();
    ASSERT_FALSE(leader.isEmpty());
    deployment.host(leader).kill(true);
    const std::string second = edited(deployment.plan().bundles.front(), "version: 1", "version: 2");
    EXPECT_TRUE(deployment.putInForce(second, {2}, 8s)) << deployment.describe();
    deployment.host(leader).start();
    EXPECT_TRUE(deployment.time().runUntil([&] { return deployment.isInForceEverywhere({2}); }, 5s))
        << deployment.describe();
    serving.finish();
}

TEST(ControlCutOffTests, FullDiskRefusesAndRecovers)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    for (FakeHost* host : deployment.hosts())
        host->disk().setFull(true);
    const std::string second = edited(deployment.plan().bundles.front(), "version: 1", "version: 2");
    EXPECT_FALSE(deployment.putInForce(second, {2}, 2s));
    for (FakeHost* host : deployment.hosts())
        host->disk().setFull(false);
    EXPECT_TRUE(deployment.putInForce(second, {2}, 10s)) << deployment.describe();
    EXPECT_TRUE(deployment.time().runUntil([&] { return deployment.isInForceEverywhere({2}); }, 5s));
    serving.finish();
}

} // namespace saltvane::host
