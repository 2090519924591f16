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

const ZoneName Zone("gye-urdesa");
const HostId Inside("gye-urdesa-2");

/// Sends requests of a client of the zone's region to a host in the zone; returns how many were answered with 200.
uint32_t answersInside(FakeDeployment& deployment, int requests)
{
    uint32_t answered = 0;
    for (int i = 0; i < requests; ++i) {
        const HttpReply reply = deployment.callAndWait({.host = Inside,
            .path = "/nav/fund-" + std::to_string(i),
            .headers = {{"Saltvane-Service", "valuator"}},
            .remoteAddress = "10.20.0.9",
            .oneWayDelay = 8ms});
        answered += reply.status == 200 ? 1 : 0;
    }
    return answered;
}

} // namespace

TEST(CutOffZoneTests, ZoneContinuesToServe)
{
    ServingDeployment serving({.requestsPerSecond = 50});
    FakeDeployment& deployment = serving.deployment;
    deployment.cutOff(Zone);
    serving.run(6s);
    EXPECT_TRUE(deployment.host(Inside).status().isCutOff);
    EXPECT_GE(answersInside(deployment, 40), 36U) << deployment.describe();
    const HttpReply lookUp = deployment.callAndWait(
        {.host = Inside, .path = "/v1/entry?service=valuator", .remoteAddress = "10.20.0.9", .oneWayDelay = 8ms});
    ASSERT_EQ(lookUp.status, 200) << lookUp.body;
    const std::string key = nlohmann::json::parse(lookUp.body)["token"].get<std::string>() + ".1";
    const HttpReply correction = deployment.callAndWait({.host = Inside,
        .method = "POST",
        .path = "/corrections",
        .headers = {{"Saltvane-Service", "valuator"}, {"Idempotency-Key", key}},
        .body = "1",
        .remoteAddress = "10.20.0.9",
        .oneWayDelay = 8ms});
    EXPECT_EQ(correction.status, 200) << correction.body;
    EXPECT_EQ(deployment.runsOf(key), 1U);
    deployment.heal();
    serving.run(4s);
    EXPECT_FALSE(deployment.host(Inside).status().isCutOff);
    serving.finish();
}

TEST(CutOffZoneTests, KeyThatNeedsAQuorumIsRefusedInside)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    deployment.cutOff(Zone);
    serving.run(4s);
    const HttpReply reply = deployment.callAndWait({.host = Inside,
        .method = "POST",
        .path = "/corrections",
        .headers = {{"Saltvane-Service", "valuator"}, {"Idempotency-Key", "made-by-the-caller"}},
        .body = "1",
        .remoteAddress = "10.20.0.9",
        .oneWayDelay = 8ms});
    EXPECT_EQ(reply.header("Saltvane-Outcome"), "unknown") << reply.body;
    EXPECT_EQ(deployment.runsOf("made-by-the-caller"), 0U);
    deployment.heal();
    serving.run(3s);
    serving.finish();
}

TEST(CutOffZoneTests, PlannedShiftPausesInsideAndContinuesWithinItsCapAfterwards)
{
    ServingDeployment serving({.requestsPerSecond = 100});
    FakeDeployment& deployment = serving.deployment;
    ASSERT_TRUE(deployment.putInForce(deployment.plan().bundles.at(1), {2})) << deployment.describe();
    serving.run(3s);
    deployment.cutOff(ZoneName("uio-carolina"));
    serving.run(4s);
    // Rows of a host that has routed no request yet are not bound to the shift.
    const ServiceName valuator("valuator");
    const bool isFirst = deployment.hasServed(HostId("uio-carolina-1"), valuator);
    const HostId inside(isFirst ? "uio-carolina-1" : "uio-carolina-2");
    ASSERT_TRUE(deployment.hasServed(inside, valuator));
    const double before = deployment.host(inside).status().shiftProgress.front();
    EXPECT_LT(before, 1.0);
    serving.run(5s);
    EXPECT_LE(deployment.host(inside).status().shiftProgress.front(), before + 0.01);
    deployment.heal();
    serving.run(6s);
    serving.finish();
}

} // namespace saltvane::host
