/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetlossrate.h"
#include "gatewayfixture.h"

#include <algorithm>

namespace saltvane::gateway::test {

namespace {

class QuarantineTest : public GatewayFixture {
protected:
    QuarantineTest()
    {
        installPlan(1);
        reportTargets({target("t-1"), target("t-2"), target("t-3"), target("t-4"), target("t-5")});
    }

    /// Stops the target of a sent request; `isKnown`: its connections are refused at once.
    void stopAndRecord(const requests::TargetStart& start, bool isKnown)
    {
        stoppedAddresses_.push_back(start.address);
        stopTarget(start, isKnown);
    }
    /// Answers probes: stopped targets refuse connections, the others answer.
    size_t answerProbes()
    {
        const std::vector<requests::TargetStart> probes = takeProbes();
        for (const requests::TargetStart& probe : probes) {
            if (std::ranges::find(stoppedAddresses_, probe.address) != stoppedAddresses_.end())
                refuse(probe);
            else
                answer(probe, {.id = ""});
        }
        return probes.size();
    }
    /// Sends one attempt of a caller under which every target stops; returns its status.
    int sendFatalRequest(const std::string& path = "/read/fatal")
    {
        request({.path = path});
        for (std::vector<requests::TargetStart> runs = takeStarts(); !runs.empty(); runs = takeStarts()) {
            stopAndRecord(runs.front(), false);
            (void)answerProbes();
        }
        advance(20ms);
        const auto response = takeResponse();
        return response ? response->status : 0;
    }

    std::vector<model::Address> stoppedAddresses_;
};

} // namespace

TEST_F(QuarantineTest, ThirdLostTargetQuarantinesRequest)
{
    EXPECT_EQ(sendFatalRequest(), 502);
    EXPECT_EQ(stoppedAddresses_.size(), 2U);
    EXPECT_EQ(sendFatalRequest(), 502);
    EXPECT_EQ(stoppedAddresses_.size(), 3U);
    request({.path = "/read/fatal"});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "request-quarantined");
    EXPECT_GT(std::stod(header(response->headers, "Retry-After")), 50);
    EXPECT_TRUE(takeStarts().empty());
}

TEST_F(QuarantineTest, LostConnectionsOfRunningTargetsBlameNothing)
{
    for (int i = 0; i < 6; ++i) {
        request({.method = "POST", .path = "/write/1", .body = "pay"});
        fail(takeStarts().at(0), true);
        EXPECT_EQ(answerProbes(), 1U); // The target still answers.
        EXPECT_EQ(takeResponse()->status, 502);
        advance(3s);
    }
}

TEST_F(QuarantineTest, ShedRequestsBlameNothing)
{
    for (int i = 0; i < 6; ++i) {
        request({.method = "POST", .path = "/write/1", .body = "pay"});
        for (const requests::TargetStart& start : takeStarts())
            answer(start, {.status = 503, .extraHeaders = {{.name = "Saltvane-Not-Run", .value = "1"}}});
        for (const requests::TargetStart& start : takeStarts())
            answer(start, {.status = 503, .extraHeaders = {{.name = "Saltvane-Not-Run", .value = "1"}}});
        EXPECT_NE(header(takeResponse()->headers, "Saltvane-Reason"), "request-quarantined");
        advance(1s);
    }
}

TEST_F(QuarantineTest, StopOfLeavingTargetBlamesNothing)
{
    request({.path = "/read/1"});
    const requests::TargetStart start = takeStarts().at(0);
    report({.retired = {{.target = start.target}}});
    stopAndRecord(start, true);
    EXPECT_EQ(reportedSuspects().size(), 0U);
}

TEST_F(QuarantineTest, LossIsReportedOnceTargetIsKnownToHaveStopped)
{
    request({.path = "/read/1"});
    const requests::TargetStart start = takeStarts().at(0);
    stopAndRecord(start, false);
    EXPECT_EQ(reportedSuspects().size(), 0U);
    (void)answerProbes();
    const auto suspects = reportedSuspects();
    ASSERT_EQ(suspects.size(), 1U);
    EXPECT_EQ(suspects[0].ends.size(), 1U);
    EXPECT_EQ(suspects[0].ends[0].target, model::incarnationHash({.target = start.target}));
    EXPECT_FALSE(suspects[0].isBlamed);
}

TEST_F(QuarantineTest, BlameByOtherGatewaysAppliesUntilCleared)
{
    (void)sendFatalRequest();
    model::SuspectRequest suspect = reportedSuspects().back();
    suspect.isBlamed = true;
    deliver(model::SuspectReport {.requests = {suspect}});
    request({.path = "/read/fatal"});
    EXPECT_EQ(takeResponse()->status, 503);
    suspect.isBlamed = false;
    suspect.ends.clear();
    ++suspect.epoch;
    deliver(model::SuspectReport {.requests = {suspect}});
    request({.path = "/read/fatal"});
    EXPECT_FALSE(takeResponse());
    EXPECT_EQ(takeStarts().size(), 1U);
}

/// A retry that is refused because the request was blamed meanwhile has been run before, so it must not be reported as
/// not run.
TEST_F(QuarantineTest, BlamedRetryOfRunRequestIsNotReportedAsNotRun)
{
    (void)sendFatalRequest();
    model::SuspectRequest suspect = reportedSuspects().back();
    suspect.ends.clear();
    ++suspect.epoch;
    deliver(model::SuspectReport {.requests = {suspect}});
    request({.path = "/read/fatal"});
    const requests::TargetStart start = takeStarts().at(0);
    suspect.isBlamed = true;
    deliver(model::SuspectReport {.requests = {suspect}});
    fail(start, true);
    EXPECT_EQ(takeResponse()->status, 502);
}

TEST_F(QuarantineTest, SilentStopCountsOnceTargetHasRestarted)
{
    model::TargetRecord record = target("t-9");
    record.incarnation = {1};
    report({.retired = {{.target = TargetId("t-1")}, {.target = TargetId("t-2")}, {.target = TargetId("t-3")},
                {.target = TargetId("t-4")}, {.target = TargetId("t-5")}}});
    reportTargets({record});
    request({.method = "POST", .path = "/write/1", .body = "pay"});
    ASSERT_EQ(takeStarts().size(), 1U);
    advance(2100ms); // The timeout of its route.
    EXPECT_EQ(takeResponse()->status, 504);
    EXPECT_EQ(reportedSuspects().size(), 0U);
    record.incarnation = {2};
    reportTargets({record});
    ASSERT_EQ(reportedSuspects().size(), 1U);
}

TEST(TargetLossRateTest, FollowsRecentLossesAndDecays)
{
    const auto at = [](Duration time) { return Timestamp(100s + time); };
    TargetLossRate rate;
    EXPECT_DOUBLE_EQ(rate.lossFraction(at(0s)), 0.02);
    for (int i = 0; i < 70; ++i)
        rate.recordAnswer(at(1s));
    for (int i = 0; i < 30; ++i)
        rate.recordLoss(at(1s));
    EXPECT_NEAR(rate.lossFraction(at(1s)), 0.24, 0.01);
    EXPECT_NEAR(rate.lossFraction(at(60s)), 0.02, 0.001);
}

} // namespace saltvane::gateway::test
