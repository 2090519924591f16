/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/fakedeployment.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace saltvane::host {

namespace {

using namespace fakes;

const std::string Valoria = SALTVANE_SOURCE_DIR "/deployments/valoria";
const std::string Magnolia = SALTVANE_SOURCE_DIR "/deployments/magnolia";

class DeploymentTests : public ::testing::TestWithParam<std::string> { };

HttpCall lookUp(const HostId& host, const std::string& service, const std::string& client)
{
    return {.host = host, .path = "/v1/entry?service=" + service, .remoteAddress = client, .oneWayDelay = 8ms};
}

HttpCall priceQuery(const HostId& host, const std::string& client)
{
    return {.host = host,
        .path = "/nav/fund-7",
        .headers = {{"Saltvane-Service", "valuator"}},
        .remoteAddress = client,
        .oneWayDelay = 8ms};
}

} // namespace

TEST_P(DeploymentTests, ElectsInstallsTheFirstBundleAndServes)
{
    FakeDeployment deployment({.plan = loadDeploymentPlan(GetParam())});
    ASSERT_TRUE(deployment.bringUp()) << deployment.describe();
    EXPECT_TRUE(deployment.isInForceEverywhere({1}));
    for (FakeHost* host : deployment.hosts())
        EXPECT_FALSE(host->status().isCutOff) << host->settings().host.value();
    EXPECT_LT(deployment.time().now().time_since_epoch() - Duration(std::chrono::hours(1)), 6s);
}

INSTANTIATE_TEST_SUITE_P(Deployments, DeploymentTests, ::testing::Values(Valoria, Magnolia),
    [](const auto& deploymentInfo) { return deploymentInfo.param == Valoria ? "Valoria" : "Magnolia"; });

TEST(DeploymentCallTests, GetThroughAHostOfAnotherRegionReturnsTheTargetsBytes)
{
    FakeDeployment deployment({.plan = loadDeploymentPlan(Valoria)});
    ASSERT_TRUE(deployment.bringUp()) << deployment.describe();
    // A client of Guayaquil calls a host in Cuenca; the client region's row leads to a target in Guayaquil.
    const HttpReply reply = deployment.callAndWait(priceQuery(HostId("cue-ricaurte-1"), "10.20.0.9"));
    ASSERT_TRUE(reply.isComplete);
    ASSERT_EQ(reply.status, 200) << reply.body;
    EXPECT_EQ(reply.header("Saltvane-Outcome"), "answered");
    const FakeTarget& target = deployment.target(TargetId(reply.header("X-Target")));
    EXPECT_TRUE(target.options().zone == ZoneName("gye-urdesa") || target.options().zone == ZoneName("gye-ceibos"));
    EXPECT_EQ(reply.body, target.options().target.value() + " GET /nav/fund-7 ");
    EXPECT_EQ(target.record().runs, 1U);
}

TEST(DeploymentCallTests, CorrectionWithATokenOfTheLookUpRunsOnceAndIsReplayed)
{
    FakeDeployment deployment({.plan = loadDeploymentPlan(Valoria)});
    ASSERT_TRUE(deployment.bringUp()) << deployment.describe();
    const HttpReply found = deployment.callAndWait(lookUp(HostId("gye-urdesa-1"), "valuator", "10.20.0.9"));
    ASSERT_EQ(found.status, 200) << found.body;
    const nlohmann::json answer = nlohmann::json::parse(found.body);
    EXPECT_EQ(answer["client_region"], "guayaquil");
    const std::string key = answer["token"].get<std::string>() + ".correction-1";
    HttpCall correction {.host = HostId("gye-urdesa-1"),
        .method = "POST",
        .path = "/nav/fund-7/corrections",
        .headers = {{"Saltvane-Service", "valuator"}, {"Idempotency-Key", key}},
        .body = "12.50",
        .remoteAddress = "10.20.0.9",
        .oneWayDelay = 8ms};
    const HttpReply first = deployment.callAndWait(correction);
    ASSERT_EQ(first.status, 200) << first.body;
    correction.host = HostId("uio-cumbaya-1");
    const HttpReply second = deployment.callAndWait(correction);
    ASSERT_EQ(second.status, 200) << second.body;
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(second.header("Saltvane-Replayed"), "true");
    EXPECT_EQ(deployment.runsOf(key), 1U);
}

TEST(DeploymentCallTests, CallerMadeKeyIsClaimedAndRunsOnce)
{
    FakeDeployment deployment({.plan = loadDeploymentPlan(Valoria)});
    ASSERT_TRUE(deployment.bringUp()) << deployment.describe();
    HttpCall confirmation {.host = HostId("cue-yanuncay-1"),
        .method = "POST",
        .path = "/subscriptions/9/confirm",
        .headers = {{"Saltvane-Service", "settlebox"}, {"Idempotency-Key", "subscription-9"}},
        .body = "yes",
        .remoteAddress = "10.30.0.9",
        .oneWayDelay = 8ms};
    const HttpReply first = deployment.callAndWait(confirmation);
    ASSERT_EQ(first.status, 200) << first.body;
    confirmation.host = HostId("gye-ceibos-1");
    const HttpReply second = deployment.callAndWait(confirmation);
    ASSERT_EQ(second.status, 200) << second.body;
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(deployment.runsOf("subscription-9"), 1U);
}

} // namespace saltvane::host
