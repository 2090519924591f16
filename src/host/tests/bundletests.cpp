/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/servingdeployment.h"

namespace saltvane::host {

using namespace fakes;

namespace {

constexpr Duration InForceTimeout = 5s;

std::string nextBundle(const FakeDeployment& deployment, uint64_t version)
{
    return edited(deployment.plan().bundles.front(), "version: 1", "version: " + std::to_string(version));
}

bool isInForceEverywhereSoon(FakeDeployment& deployment, uint64_t version)
{
    return deployment.time().runUntil([&] { return deployment.isInForceEverywhere({version}); }, InForceTimeout);
}

} // namespace

TEST(BundleTests, AcceptedBundleIsInForceEverywhereAfterTheLeaderDies)
{
    ServingDeployment serving({.requestsPerSecond = 50});
    FakeDeployment& deployment = serving.deployment;
    for (uint64_t version = 2; version <= 4; ++version) {
        ASSERT_TRUE(deployment.putInForce(nextBundle(deployment, version), {version})) << deployment.describe();
        const HostId leader = deployment.controlLeader();
        ASSERT_FALSE(leader.isEmpty());
        deployment.host(leader).kill(true);
        EXPECT_TRUE(isInForceEverywhereSoon(deployment, version)) << deployment.describe();
        deployment.host(leader).start();
        serving.run(3s);
    }
    EXPECT_TRUE(deployment.isInForceEverywhere({4}));
    serving.finish();
}

TEST(BundleTests, BundleReachesEveryHostDespiteMessageLoss)
{
    ServingDeployment serving({.requestsPerSecond = 50});
    FakeDeployment& deployment = serving.deployment;
    uint64_t pushes = 0;
    deployment.network().setDrop([&](const HostId&, const model::OutgoingMessage& outgoing) {
        return std::holds_alternative<model::BundlePush>(outgoing.message) && ++pushes % 3 != 0;
    });
    ASSERT_TRUE(deployment.putInForce(nextBundle(deployment, 2), {2}));
    EXPECT_TRUE(isInForceEverywhereSoon(deployment, 2)) << deployment.describe();
    EXPECT_GT(pushes, 0U);
    serving.finish();
}

TEST(BundleTests, HealedZoneInstallsTheNewestAndNeverAnOlderBundle)
{
    ServingDeployment serving({.requestsPerSecond = 50});
    FakeDeployment& deployment = serving.deployment;
    deployment.cutOff(ZoneName("uio-carolina"));
    serving.run(4s);
    ASSERT_TRUE(deployment.putInForce(nextBundle(deployment, 2), {2})) << deployment.describe();
    ASSERT_TRUE(deployment.putInForce(nextBundle(deployment, 3), {3})) << deployment.describe();
    serving.run(2s);
    EXPECT_EQ(deployment.host(HostId("uio-carolina-2")).status().inForceVersion, BundleVersion {1});
    deployment.heal();
    EXPECT_TRUE(isInForceEverywhereSoon(deployment, 3)) << deployment.describe();
    serving.finish();
}

TEST(BundleTests, ResentProposalIsAcceptedAndOtherContentOfItsVersionConflicts)
{
    FakeDeployment deployment({.plan = loadDeploymentPlan(ValoriaFolder)});
    ASSERT_TRUE(deployment.bringUp()) << deployment.describe();
    const std::string second = nextBundle(deployment, 2);
    ASSERT_TRUE(deployment.putInForce(second, {2}));
    EXPECT_TRUE(deployment.putInForce(second, {2})) << "a repeated request must get the same response";
    const std::string other = edited(second, "share: 0.1", "share: 0.2");
    EXPECT_FALSE(deployment.putInForce(other, {2}, 1s));
    EXPECT_EQ(deployment.lastOperatorReply().status, 409) << deployment.lastOperatorReply().body;
    EXPECT_TRUE(isInForceEverywhereSoon(deployment, 2));
}

} // namespace saltvane::host
