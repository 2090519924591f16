/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/servingdeployment.h"

namespace saltvane::host {

using namespace fakes;

namespace {

void setTargetBehaviour(FakeDeployment& deployment, const std::string& service, TargetBehaviour behaviour)
{
    for (FakeTarget* target : deployment.targetsOf(ServiceName(service)))
        target->setBehaviour(behaviour);
}

} // namespace

TEST(NotRunTests, ShedRequestsAreReportedNotRun)
{
    ServingDeployment serving({});
    setTargetBehaviour(serving.deployment, "settlebox", TargetBehaviour::Shedding);
    serving.run(2s);
    serving.finish();
    EXPECT_GT(serving.load.record().notRun, 0U) << serving.load.summary();
}

TEST(NotRunTests, RefusedConnectionsAreReportedNotRun)
{
    ServingDeployment serving({});
    setTargetBehaviour(serving.deployment, "settlebox", TargetBehaviour::Refusing);
    serving.run(2s);
    serving.finish();
    EXPECT_GT(serving.load.record().notRun, 0U) << serving.load.summary();
}

TEST(NotRunTests, StalledRequestsAreNeverReportedNotRun)
{
    ServingDeployment serving({});
    serving.run(2s);
    const uint64_t before = serving.load.record().unknown;
    setTargetBehaviour(serving.deployment, "settlebox", TargetBehaviour::Stalled);
    serving.run(3s);
    serving.finish();
    EXPECT_GT(serving.load.record().unknown, before) << serving.load.summary();
}

TEST(NotRunTests, ReportsHoldWhileOwnersDieAndZonesAreCutOffUnderOverload)
{
    ServingDeployment serving({.requestsPerSecond = 300, .seed = 7});
    FakeDeployment& deployment = serving.deployment;
    for (FakeTarget* target : deployment.targets())
        target->setServiceTime(150ms);
    for (int round = 0; round < 3; ++round) {
        deployment.cutOff(ZoneName(round % 2 == 0 ? "gye-urdesa" : "uio-carolina"));
        serving.run(500ms);
        deployment.host(HostId("cue-yanuncay-1")).kill(round == 1);
        serving.run(1s);
        deployment.heal();
        deployment.host(HostId("cue-yanuncay-1")).start();
        serving.run(1s);
    }
    serving.finish();
    EXPECT_GT(serving.load.record().notRun, 0U) << serving.load.summary();
    EXPECT_GT(serving.load.record().unknown, 0U) << serving.load.summary();
}

} // namespace saltvane::host
