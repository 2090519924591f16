/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

/// Targets that send bytes that no request waits for.
namespace saltvane::gateway::test {

namespace {

class SurplusBytesTest : public GatewayFixture {
protected:
    void SetUp() override
    {
        installPlan(1);
        reportTargets({target("t-1")});
    }
    /// Sends a request and answers it. Returns whether it was to get a connection of its own.
    bool isSentOnItsOwnConnection(const std::string& method, bool hasSurplus = false)
    {
        request({.method = method, .path = method == "GET" ? "/read/1" : "/write/1"});
        const auto starts = takeStarts();
        if (starts.empty())
            return false;
        answer(starts.front(), {.hasSurplus = hasSurplus});
        (void)takeResponse();
        return starts.front().needsExclusiveConnection;
    }
    /// Keeps the plan and the target current.
    void pass(Duration duration)
    {
        for (const Timestamp end = now_ + duration; now_ < end;) {
            advance(500ms);
            answerPull();
            reportTargets({target("t-1")});
        }
    }
};

// Guards against one request after the other that fails at a target that sends second responses: each arrives on a kept
// connection on which the next request waits.
TEST_F(SurplusBytesTest, RequestsToTheTargetGetConnectionsOfTheirOwnForAWhile)
{
    EXPECT_FALSE(isSentOnItsOwnConnection("GET"));
    EXPECT_FALSE(isSentOnItsOwnConnection("GET", true));
    EXPECT_TRUE(isSentOnItsOwnConnection("GET"));
    EXPECT_TRUE(isSentOnItsOwnConnection("POST"));
    pass(6s);
    EXPECT_FALSE(isSentOnItsOwnConnection("GET")) << "such requests find out whether it has ended";
    EXPECT_TRUE(isSentOnItsOwnConnection("POST"));
    pass(6s);
    EXPECT_FALSE(isSentOnItsOwnConnection("POST"));
}

TEST_F(SurplusBytesTest, PeriodDoublesWhereTheTargetGoesOn)
{
    (void)isSentOnItsOwnConnection("GET", true);
    pass(6s);
    EXPECT_FALSE(isSentOnItsOwnConnection("GET", true));
    pass(6s);
    EXPECT_TRUE(isSentOnItsOwnConnection("GET"));
    pass(6s);
    EXPECT_FALSE(isSentOnItsOwnConnection("GET"));
}

// Guards against periods that never end at targets whose responses lack the id.
TEST_F(SurplusBytesTest, ResponseWithoutIdOnANewConnectionIsNoSurplus)
{
    request({.method = "POST", .path = "/write/1"});
    answer(takeStarts().at(0), {.status = 500, .id = "", .isNewConnection = true});
    EXPECT_EQ(takeResponse()->status, 502);
    EXPECT_FALSE(isSentOnItsOwnConnection("GET"));
}

// Guards against connections of requests that were sent before the period, which report one after the other.
TEST_F(SurplusBytesTest, SeveralConnectionsBeginOnePeriod)
{
    for (int i = 0; i < 5; ++i)
        (void)isSentOnItsOwnConnection("GET", true);
    pass(6s);
    EXPECT_FALSE(isSentOnItsOwnConnection("GET"));
}

} // namespace

} // namespace saltvane::gateway::test
