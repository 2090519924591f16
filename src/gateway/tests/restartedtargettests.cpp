/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

/// Targets that start again under their id without stating their incarnation. Two registry hosts know different starts.
namespace saltvane::gateway::test {

namespace {

const HostId OtherRegistry("10.0.0.8:7000");

class RestartedTargetTest : public GatewayFixture {
protected:
    RestartedTargetTest()
    {
        installPlan(1);
        former_ = target("t-1");
        former_.sequence = 500;
        reportTargets({former_});
        restarted_ = former_;
        restarted_.sequence = 1;
        restarted_.slowStartLeft = 3s;
        advance(2s);
    }
    void reportOfOther(const model::TargetRecord& record)
    {
        deliver({.from = OtherRegistry,
            .message = model::TargetReport {.targets = {record}, .gateways = 1, .gatewayNumber = 1}});
    }
    using GatewayFixture::deliver;
    void deliver(model::Delivery delivery)
    {
        gateway_->handle(std::move(delivery), now_);
        advance({});
    }
    bool isUsed()
    {
        request({});
        const std::vector<requests::TargetStart> starts = takeStarts();
        for (const requests::TargetStart& start : starts)
            answer(start, {});
        (void)takeResponse();
        return !starts.empty();
    }
    /// A target of another service answers on a new connection.
    void answerOnNewConnection()
    {
        reportTargets({target("f-1", "files")});
        requestOnNewConnection();
    }
    /// The same of a target that is known.
    void requestOnNewConnection()
    {
        request({.path = "/file/1", .id = "file"});
        for (const requests::TargetStart& start : takeStarts())
            answer(start, {.id = "file", .isNewConnection = true});
        (void)takeResponse();
    }
    model::TargetRecord former_;
    model::TargetRecord restarted_;
};

} // namespace

// Guards against floods of a restarted target whose records have a lower sequence than those of its former start.
TEST_F(RestartedTargetTest, RecordOfTheNewStartIsAppliedWhichHostEverSendsIt)
{
    EXPECT_TRUE(isUsed());
    reportOfOther(restarted_);
    EXPECT_FALSE(isUsed());
    advance(3100ms);
    EXPECT_TRUE(isUsed());
    restarted_.slowStartLeft = 3s;
    reportTargets({restarted_});
    EXPECT_FALSE(isUsed());
}

// Guards against a registry host that repeats what it knows of the former start.
TEST_F(RestartedTargetTest, RecordOfTheFormerStartDoesNotReplaceThatOfTheNewOne)
{
    restarted_.slowStartLeft = {};
    restarted_.isLeaving = true;
    reportOfOther(restarted_);
    former_.age = 2s;
    reportTargets({former_});
    EXPECT_FALSE(isUsed());
}

// Guards against a restarted target that is removed because its former start has become unresponsive.
TEST_F(RestartedTargetTest, TargetIsUsedAfterItsFormerStartTimedOutAtAnotherHost)
{
    restarted_.slowStartLeft = {};
    reportOfOther(restarted_);
    former_.age = model::TargetHeartbeatTimeout;
    reportTargets({former_});
    EXPECT_TRUE(isUsed());
}

// Guards against floods after a late report of the former start reached another registry host than those of the new
// one.
TEST_F(RestartedTargetTest, LateRecordOfAnotherHostDoesNotEndTheSlowStart)
{
    reportOfOther(restarted_);
    advance(500ms);
    ++former_.sequence;
    reportTargets({former_});
    EXPECT_FALSE(isUsed());
    advance(2600ms);
    EXPECT_TRUE(isUsed());
}

// Guards against floods where the record of the new start arrives after a late one of the former start.
TEST_F(RestartedTargetTest, SlowStartInAnOutdatedRecordCounts)
{
    ++former_.sequence;
    reportTargets({former_});
    restarted_.age = 100ms;
    reportOfOther(restarted_);
    EXPECT_FALSE(isUsed());
}

// Guards against floods of a target that starts again before it reports, by the gateway that it refused a connection.
TEST_F(RestartedTargetTest, TargetThatRefusedAConnectionIsNotUsedForTheLengthOfASlowStart)
{
    request({});
    refuse(takeStarts().at(0));
    (void)takeResponse();
    advance(2900ms); // Ejections are shorter.
    EXPECT_FALSE(isUsed());
    advance(200ms);
    EXPECT_TRUE(isUsed());
}

// Guards against a gateway behind a partition that has targets limited at all other gateways.
TEST_F(RestartedTargetTest, RefusalIsReportedOnceANewConnectionToAnotherTargetIsAnswered)
{
    request({});
    refuse(takeStarts().at(0));
    (void)takeResponse();
    advance(100ms);
    EXPECT_TRUE(takeStatedSlowStarts().empty());
    answerOnNewConnection();
    const std::vector<model::TargetRecord> stated = takeStatedSlowStarts();
    ASSERT_EQ(stated.size(), 1U);
    EXPECT_EQ(stated[0].target, former_.target);
    EXPECT_TRUE(stated[0].isStartExpected);
}

// Guards against floods of a target that starts again before it reports, by gateways that did not notice that it
// stopped.
TEST_F(RestartedTargetTest, TargetOfWhichAStartIsExpectedIsNotUsedUntilItReports)
{
    former_.isStartExpected = true;
    reportTargets({former_});
    EXPECT_FALSE(isUsed());
    advance(4s);
    EXPECT_FALSE(isUsed());
    former_.isStartExpected = false;
    reportTargets({former_});
    EXPECT_TRUE(isUsed());
}

// Guards against floods after a late report that reached a registry host which expects no start.
TEST_F(RestartedTargetTest, RecordOfAnotherHostDoesNotEndTheExpectationOfAStart)
{
    former_.isStartExpected = true;
    reportTargets({former_});
    former_.isStartExpected = false;
    ++former_.sequence;
    reportOfOther(former_);
    EXPECT_FALSE(isUsed());
    restarted_.slowStartLeft = 2s;
    advance(100ms);
    reportOfOther(restarted_);
    advance(2100ms);
    EXPECT_TRUE(isUsed());
}

// Guards against a restarted target that is limited again because a start of its former incarnation is expected by a
// registry host to which it no longer reports.
TEST_F(RestartedTargetTest, ExpectationOfAHostThatHearsNothingDoesNotCount)
{
    restarted_.slowStartLeft = {};
    reportOfOther(restarted_);
    former_.isStartExpected = true;
    former_.age = model::TargetHeartbeatTimeout;
    reportTargets({former_});
    EXPECT_TRUE(isUsed());
}

// Guards against floods after a restart of all registry hosts, which no gateway could tell of a refusal meanwhile: the
// target has started again, and is listed from their disks.
TEST_F(RestartedTargetTest, RefusalIsReportedAgainOnceTheRegistryIsInTouch)
{
    reportTargets({target("f-1", "files")});
    areAllPullsAnswered_ = false;
    advance(1500ms);
    request({});
    refuse(takeStarts().at(0));
    (void)takeResponse();
    advance(10ms);
    requestOnNewConnection();
    advance(10ms);
    EXPECT_EQ(takeStatedSlowStarts().size(), 1U);
    advance(1500ms);
    EXPECT_TRUE(isUsed()) << "it has started again";
    advance(2s);
    EXPECT_TRUE(takeStatedSlowStarts().empty());
    areAllPullsAnswered_ = true;
    advance(600ms);
    const std::vector<model::TargetRecord> stated = takeStatedSlowStarts();
    ASSERT_EQ(stated.size(), 1U);
    EXPECT_EQ(stated[0].target, former_.target);
    EXPECT_TRUE(stated[0].isStartExpected);
}

// Guards against floods of a stopped target at gateways that did not notice it, where the registry host that expects a
// start has restarted: its records have a lower sequence than the known one.
TEST_F(RestartedTargetTest, ExpectationOfARestartedHostCounts)
{
    former_.sequence = 0;
    former_.isRecalled = true;
    reportOfOther(former_);
    EXPECT_TRUE(isUsed());
    former_.isStartExpected = true;
    reportOfOther(former_);
    EXPECT_FALSE(isUsed());
    former_.isStartExpected = false;
    former_.isRecalled = false;
    former_.sequence = 501;
    reportOfOther(former_);
    EXPECT_TRUE(isUsed());
}

// Guards against a report to the registry for each refused connection of a stopped target.
TEST_F(RestartedTargetTest, RefusalsAreReportedOnceWithinASecond)
{
    for (int attempt = 0; attempt < 3; ++attempt) {
        request({});
        for (const requests::TargetStart& start : takeStarts())
            refuse(start);
        (void)takeResponse();
        answerOnNewConnection();
        advance(100ms);
    }
    EXPECT_EQ(takeStatedSlowStarts().size(), 1U);
}

} // namespace saltvane::gateway::test
