/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/servingdeployment.h"

namespace saltvane::host {

using namespace fakes;

namespace {

const TargetId LeavingTarget("valuator-gye-urdesa-1");

} // namespace

TEST(LeavingTests, LeavingTargetGetsNoNewWork)
{
    ServingDeployment serving({});
    FakeTarget& target = serving.deployment.target(LeavingTarget);
    const uint64_t before = target.record().runs;
    target.leave();
    serving.run(5s);
    serving.finish();
    EXPECT_GT(before, 0U);
}

TEST(LeavingTests, LeavingTargetGetsNoNewWorkWhenItsOwnerDies)
{
    ServingDeployment serving({});
    FakeTarget& target = serving.deployment.target(LeavingTarget);
    target.leave();
    serving.deployment.host(target.leaseOwner()).kill(true);
    serving.run(6s);
    serving.finish();
}

TEST(LeavingTests, LeavingTargetGetsNoNewWorkWhenItsAnnouncementsAreLost)
{
    ServingDeployment serving({});
    FakeTarget& target = serving.deployment.target(LeavingTarget);
    target.setAnnouncementsBlocked(true);
    target.leave();
    serving.run(6s);
    serving.finish();
    EXPECT_GT(serving.load.record().answered, 500U) << serving.load.summary();
}

} // namespace saltvane::host
