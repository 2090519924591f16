/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/servingdeployment.h"

namespace saltvane::host {

using namespace fakes;

namespace {

const HostId Restarted("gye-ceibos-1");

std::string bundleOf(const FakeDeployment& deployment, uint64_t version)
{
    return edited(deployment.plan().bundles.front(), "version: 1", "version: " + std::to_string(version));
}

HttpReply price(FakeDeployment& deployment, const HostId& host)
{
    return deployment.callAndWait({.host = host,
        .path = "/nav/fund-7",
        .headers = {{"Saltvane-Service", "valuator"}},
        .remoteAddress = "10.20.0.9",
        .oneWayDelay = 100us});
}

} // namespace

TEST(RestartTests, HostThatMissedManyChangesServesOnlyTheNewest)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    deployment.host(Restarted).kill();
    for (uint64_t version = 2; version <= 40; ++version)
        ASSERT_TRUE(deployment.putInForce(bundleOf(deployment, version), {version})) << deployment.describe();
    deployment.host(Restarted).start();
    const HttpReply early = price(deployment, Restarted);
    EXPECT_EQ(early.status, 503);
    EXPECT_EQ(early.header("Saltvane-Reason"), "not-ready");
    ASSERT_TRUE(deployment.time().runUntil([&] { return deployment.areAllServing(); }, 5s)) << deployment.describe();
    EXPECT_EQ(deployment.host(Restarted).status().inForceVersion, BundleVersion {40});
    EXPECT_EQ(price(deployment, Restarted).status, 200);
    serving.finish();
}

TEST(RestartTests, HostWithoutAnyPeerServesNothing)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    deployment.host(Restarted).kill();
    deployment.cutOff(Restarted); // It is the only host of its zone.
    deployment.host(Restarted).start();
    serving.run(10s);
    EXPECT_EQ(deployment.host(Restarted).status().state, model::HostState::Joining);
    EXPECT_EQ(price(deployment, Restarted).header("Saltvane-Reason"), "not-ready");
    const HttpReply lookUp = deployment.get(Restarted, "/v1/entry?service=valuator");
    EXPECT_EQ(lookUp.status, 503) << lookUp.body;
    deployment.heal();
    EXPECT_TRUE(deployment.time().runUntil([&] { return deployment.areAllServing(); }, 5s)) << deployment.describe();
    serving.finish();
}

TEST(RestartTests, HostOfACutOffZoneAdoptsThePeersState)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    const HostId restarted("gye-urdesa-2");
    deployment.cutOff(ZoneName("gye-urdesa"));
    serving.run(4s);
    deployment.host(restarted).kill();
    serving.run(500ms);
    deployment.host(restarted).start();
    EXPECT_TRUE(deployment.time().runUntil([&] { return deployment.areAllServing(); }, 5s)) << deployment.describe();
    EXPECT_EQ(price(deployment, restarted).status, 200);
    serving.finish();
}

TEST(RestartTests, AllHostsRestartWithTheBundleInForce)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    ASSERT_TRUE(deployment.putInForce(bundleOf(deployment, 2), {2}));
    serving.run(1s);
    for (FakeHost* host : deployment.hosts())
        host->kill(true);
    serving.run(1s);
    for (FakeHost* host : deployment.hosts())
        host->start();
    EXPECT_TRUE(deployment.time().runUntil(
        [&] { return deployment.areAllServing() && deployment.isInForceEverywhere({2}); }, 10s))
        << deployment.describe();
    serving.finish();
}

} // namespace saltvane::host
