/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

/// How old the registry's information may be for a gateway to send requests by it.
namespace saltvane::gateway::test {

namespace {

class RegistryFreshnessTest : public GatewayFixture {
protected:
    explicit RegistryFreshnessTest(const FixtureOptions& options = {})
        : GatewayFixture(options)
    {
        installPlan(1);
        reportTargets({target("t-1")});
        areAllPullsAnswered_ = false;
    }
    /// Sends a request. Returns whether it is sent to a target; otherwise it has to be refused with a Retry-After.
    bool isSent()
    {
        request({});
        const std::vector<requests::TargetStart> starts = takeStarts();
        if (!starts.empty())
            answer(starts.front(), {});
        const auto response = takeResponse();
        if (!starts.empty())
            return true;
        EXPECT_TRUE(response && response->status == 503 && !header(response->headers, "Retry-After").empty());
        return false;
    }
    /// The only registry host is heard.
    void receiveHeartbeat()
    {
        deliver(model::Heartbeat {.record
            = {.host = HostId("10.0.0.9:7000"), .incarnation = {1}, .sequence = ++heartbeats_, .isControl = true}});
    }
    /// The registry's reports keep arriving, in the order in which they were sent, but no answer to a pull.
    void receiveOldReports(Duration duration)
    {
        for (const Timestamp end = now_ + duration; now_ < end;) {
            advance(100ms);
            report({.orders = {.term = {1}, .index = {5}}});
        }
    }

    /// Sends a request that no target answers. Returns to how many targets it is sent within its time limit, while
    /// pulls stay unanswered.
    size_t sendUnansweredRequest()
    {
        request({});
        receiveOldReports(1400ms);
        return takeStarts().size();
    }

    uint64_t heartbeats_ = 0;
};

} // namespace

/// Guards against requests to targets that have left, sent by a gateway whose process was stalled and that has not read
/// yet which ones left.
TEST_F(RegistryFreshnessTest, StalledGatewaySendsNothingBeforeRegistryAnswers)
{
    EXPECT_TRUE(isSent());
    now_ += 3s; // No tick: the process is stalled.
    EXPECT_FALSE(isSent());
    advance(100ms);
    EXPECT_FALSE(isSent());
    answerPull();
    EXPECT_TRUE(isSent());
}

/// Guards against requests to targets that have left, sent by a gateway that receives reports seconds late.
TEST_F(RegistryFreshnessTest, GatewayWithLateReportsSendsNothing)
{
    receiveOldReports(1s);
    EXPECT_TRUE(isSent());
    receiveOldReports(1s);
    EXPECT_FALSE(isSent());
    answerPull();
    EXPECT_TRUE(isSent());
}

TEST_F(RegistryFreshnessTest, StalledRequestIsRepeatedAtAnotherTarget)
{
    reportTargets({target("t-1"), target("t-2")});
    EXPECT_EQ(sendUnansweredRequest(), 2U);
}

/// Guards against requests that waited at an unresponsive target and are sent to another one by outdated information.
TEST_F(RegistryFreshnessTest, StalledRequestIsNotRepeatedByLateReports)
{
    reportTargets({target("t-1"), target("t-2")});
    receiveOldReports(600ms);
    EXPECT_EQ(sendUnansweredRequest(), 1U);
}

/// Guards against requests by a plan that was replaced long ago, while the newer one is still being received.
TEST_F(RegistryFreshnessTest, ReplacedPlanIsNotUsedAfterItsLimit)
{
    startFetchingPlan(2);
    for (int step = 0; step < 15; ++step) {
        advance(100ms);
        answerPull();
    }
    EXPECT_TRUE(isSent());
    for (int step = 0; step < 8; ++step) {
        advance(100ms);
        answerPull();
    }
    EXPECT_FALSE(isSent());
}

namespace {

/// Determines, in 100 ms steps with an answer to each pull, until when a gateway that knows of a newer plan sends
/// requests.
class ReplacedPlanTest : public RegistryFreshnessTest, public testing::WithParamInterface<Duration> {
protected:
    ReplacedPlanTest()
        : RegistryFreshnessTest({.leaveLimit = GetParam(), .planLimit = GetParam()})
    {
    }
};

} // namespace

/// Guards against a fixed limit in the program: operators set 2.0 to 3.0 s. A request by the old plan has to reach its
/// target within the limit, so the last one is sent some time before.
TEST_P(ReplacedPlanTest, ReplacedPlanIsUsedForMostOfTheLimit)
{
    constexpr Duration Step = 100ms;
    constexpr Duration MinMargin = 300ms;
    startFetchingPlan(2);
    Duration used {};
    for (Duration passed {}; passed < GetParam() * 2; passed += Step) {
        advance(Step);
        answerPull();
        if (isSent())
            used = passed + Step;
    }
    EXPECT_LE(used, GetParam() - MinMargin);
    EXPECT_GE(used, GetParam() / 2);
}

TEST_P(ReplacedPlanTest, LateReportsAreUsedForLessThanTheLeaveLimit)
{
    constexpr Duration Step = 100ms;
    constexpr Duration MinMargin = 300ms;
    Duration used {};
    for (Duration passed {}; passed < GetParam() * 2; passed += Step) {
        receiveOldReports(Step);
        if (isSent())
            used = passed + Step;
    }
    EXPECT_LE(used, GetParam() - MinMargin);
    EXPECT_GE(used, 1s); // Two pulls may remain unanswered.
}

INSTANTIATE_TEST_SUITE_P(
    OperatorsLimits, ReplacedPlanTest, testing::Values(Duration(2s), Duration(2500ms), Duration(3s)));

TEST_F(RegistryFreshnessTest, GatewayServesWhileCutOff)
{
    for (int second = 0; second < 6; ++second) {
        advance(1s);
        EXPECT_TRUE(isSent()) << second;
    }
}

// Guards against floods of targets by gateways that are cut off and don't know that the targets are in a slow start.
TEST_F(RegistryFreshnessTest, CutOffGatewaySendsNoMoreThanItsShare)
{
    advance(700ms);
    size_t sent = 0;
    for (int step = 0; step < 100; ++step) {
        advance(20ms);
        sent += isSent() ? 1 : 0;
    }
    // Of the 12.5 requests that a target bears, the only gateway may send 6.5 a second, with a burst of one.
    EXPECT_GE(sent, 12U);
    EXPECT_LE(sent, 14U);
}

// Guards against gateways that hear only registry hosts which are cut off from the others themselves.
TEST_F(RegistryFreshnessTest, GatewayWithoutProofThatHearsAMinoritySendsNoMoreThanItsShare)
{
    size_t sent = 0;
    for (int step = 0; step < 150; ++step) {
        advance(20ms);
        answerPull(Duration::max());
        const bool wasSent = isSent();
        if (step >= 100)
            sent += wasSent ? 1 : 0;
    }
    EXPECT_LE(sent, 8U);
}

// Guards against gateways that forget the registry hosts which they don't hear, and take a minority for all of them.
TEST_F(RegistryFreshnessTest, GatewayThatForgotRegistryHostsSendsNoMoreThanItsShare)
{
    report({.orders = {.term = {1}, .index = {5}}, .registryVoters = 6});
    size_t sent = 0;
    for (int step = 0; step < 150; ++step) {
        advance(20ms);
        answerPull(Duration::max());
        receiveHeartbeat();
        const bool wasSent = isSent();
        if (step >= 100)
            sent += wasSent ? 1 : 0;
    }
    EXPECT_LE(sent, 8U);
}

// Guards against gateways that restrict all targets while half of an even number of registry hosts is lost and nothing
// can be acknowledged without the other half.
TEST_F(RegistryFreshnessTest, GatewayThatHearsHalfOfTheRegistryHostsSendsAtTheFullRate)
{
    report({.orders = {.term = {1}, .index = {5}}, .registryVoters = 2});
    for (int step = 0; step < 60; ++step) {
        advance(100ms);
        answerPull(Duration::max());
        receiveHeartbeat();
        EXPECT_TRUE(isSent()) << step;
    }
}

// Guards against callers who wait or are refused by a cut-off gateway while a peer could serve them.
TEST_F(RegistryFreshnessTest, CutOffGatewayHandsOtherRequestsToAPeer)
{
    deliver(model::PeerReport {.peers = {{.host = HostId("10.0.0.2:7000"),
                                   .zone = ZoneName("north-a"),
                                   .region = RegionName("north"),
                                   .frontAddress = {.ip = "10.0.0.2", .port = 8000}}}});
    advance(700ms);
    size_t atPeer = 0;
    for (int i = 0; i < 10; ++i) {
        request({.id = "try-" + std::to_string(i)});
        for (const requests::TargetStart& start : takeStarts())
            atPeer += start.address.ip == "10.0.0.2" ? 1 : 0;
    }
    EXPECT_EQ(atPeer, 9U);
    EXPECT_FALSE(takeResponse());
}

/// Without a leader nothing is acknowledged, so nothing can be missed.
TEST_F(RegistryFreshnessTest, GatewayServesWhileRegistryHasNoLeader)
{
    for (int step = 0; step < 60; ++step) {
        advance(100ms);
        answerPull(Duration::max());
        receiveHeartbeat();
        EXPECT_TRUE(isSent()) << step;
    }
}

} // namespace saltvane::gateway::test
