/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

/// Reports of orders that did not arrive although the link stayed up.
namespace saltvane::gateway::test {

namespace {

class MissedReportTest : public GatewayFixture {
protected:
    MissedReportTest()
    {
        installPlan(1);
        report({.orders = positionOf(5), .targets = {target("t-1")}});
        areAllPullsAnswered_ = false;
    }
    static LogPosition positionOf(uint64_t index) { return {.term = {1}, .index = {index}}; }
    /// The registry host answers the last pull, and has reported orders up to this index before.
    void answerPullAfterOrders(uint64_t index)
    {
        answerPull(10ms, positionOf(index));
        advance(300ms);
    }
};

} // namespace

// Guards against gateways that go on using a target which left because the only report of it was lost.
TEST_F(MissedReportTest, FullReportIsRequestedAfterAMissedOne)
{
    answerPullAfterOrders(5);
    EXPECT_EQ(takeFullReportRequests(), 0U);
    answerPullAfterOrders(6);
    EXPECT_EQ(takeFullReportRequests(), 1U);
    report({.orders = positionOf(6), .retired = {{.target = TargetId("t-1")}}});
    for (int i = 0; i < 5; ++i)
        answerPullAfterOrders(6);
    EXPECT_EQ(takeFullReportRequests(), 0U);
}

// Guards against a missed report that is hidden by a later one.
TEST_F(MissedReportTest, LaterReportDoesNotHideAMissedOne)
{
    report({.orders = positionOf(7), .ordersSince = positionOf(6)});
    answerPullAfterOrders(7);
    EXPECT_EQ(takeFullReportRequests(), 1U);
}

// Guards against a full report for each pull while the requested one is on its way over a slow link.
TEST_F(MissedReportTest, FullReportsAreRequestedAtMostOncePerSecond)
{
    for (int i = 0; i < 10; ++i)
        answerPullAfterOrders(6);
    const size_t requests = takeFullReportRequests();
    EXPECT_LE(requests, 4U);
    EXPECT_GE(requests, 2U);
}

// Another registry host may have reported the same orders.
TEST_F(MissedReportTest, ReportsOfSeveralRegistryHostsCompleteEachOther)
{
    report({.orders = positionOf(6), .ordersSince = positionOf(5)});
    report({.orders = positionOf(7), .ordersSince = positionOf(4)});
    report({.orders = positionOf(8), .ordersSince = positionOf(7)});
    answerPullAfterOrders(8);
    EXPECT_EQ(takeFullReportRequests(), 0U);
}

} // namespace saltvane::gateway::test
