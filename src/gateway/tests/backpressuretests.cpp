/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "backpressurefixture.h"
#include "gateway/internal/targetbackpressure.h"

namespace saltvane::gateway::test {

namespace {

StatedLimit limitOf(const std::vector<std::string>& values)
{
    std::vector<model::Header> headers;
    for (const std::string& value : values)
        headers.push_back({.name = "Saltvane-Limit", .value = value});
    return readStatedLimit(headers, "saltvane-limit");
}

} // namespace

TEST(StatedLimitTest, ReadsDecimalNumbers)
{
    EXPECT_FALSE(limitOf({}).isStated);
    EXPECT_EQ(limitOf({"2.1"}).perSecond, 2.1);
    EXPECT_EQ(limitOf({" 2.1 "}).perSecond, 2.1);
    EXPECT_EQ(limitOf({"0"}).perSecond, 0);
    EXPECT_EQ(limitOf({"0.0"}).perSecond, 0);
    EXPECT_EQ(limitOf({"1e300"}).perSecond, 1e300);
    EXPECT_EQ(limitOf({"7", "2.5"}).perSecond, 2.5);
    EXPECT_EQ(limitOf({"7", "many"}).perSecond, 7);
}

TEST(StatedLimitTest, MalformedNumbersAreStatedButNotParsed)
{
    for (const char* text : {"", "many", "-1", "-0", "nan", "inf", "1e999", "2.1 1", "2,1", "0x10"}) {
        const StatedLimit limit = limitOf({text});
        EXPECT_TRUE(limit.isStated) << text;
        EXPECT_FALSE(limit.perSecond) << text;
    }
}

TEST_F(BackpressureTest, LimitChangesAreLogged)
{
    installPlan(1);
    reportTargets({target("t-1")});
    serve({{"Saltvane-Limit", "2.1"}});
    EXPECT_TRUE(isLogged("event=target_limit target=t-1 service=quotes per_second=2.1"));
    advance(1s);
    serve({{"Saltvane-Limit", "2.1"}});
    EXPECT_FALSE(isLogged("target_limit"));
    advance(1s);
    serve({{"Saltvane-Limit", "soon"}});
    EXPECT_TRUE(isLogged("event=target_limit_unreadable target=t-1 service=quotes per_second=soon"));
    advance(1s);
    serve({});
    EXPECT_TRUE(isLogged("event=target_limit target=t-1 service=quotes per_second=none"));
}

TEST_F(BackpressureTest, ResponseToEarlierRequestDoesNotClearLimit)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({.id = "earlier"});
    advance(100ms);
    request({.id = "later"});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 2U);
    answer(starts[1], {.id = "later", .extraHeaders = {{"Saltvane-Limit", "2.1"}}});
    answer(starts[0], {.id = "earlier"});
    EXPECT_FALSE(isLogged("per_second=none"));
}

// Guards against a limit that is raised by a response from before it was lowered, which arrives later.
TEST_F(BackpressureTest, ResponseToEarlierRequestDoesNotRaiseLimit)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({.id = "try-1"});
    request({.id = "try-2"});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 2U);
    advance(20ms);
    answer(starts[1], {.id = "try-2", .extraHeaders = {{"Saltvane-Limit", "2"}}});
    EXPECT_TRUE(isLogged("per_second=2"));
    advance(20ms);
    answer(starts[0], {.id = "try-1", .extraHeaders = {{"Saltvane-Limit", "50"}}});
    EXPECT_FALSE(isLogged("per_second=50"));
    advance(20ms);
    serve({{"Saltvane-Limit", "50"}});
    EXPECT_TRUE(isLogged("per_second=50")) << "this request was sent after the limit was known";
}

TEST_F(BackpressureTest, TargetWithLimitGetsRequestsOnlyWithCredit)
{
    const TargetId limited = serveWithLimit();
    request({});
    EXPECT_TRUE(takeStarts().empty());
    EXPECT_EQ(answerCreditRequests({.credits = 1}), 1U);
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, limited);
}

TEST_F(BackpressureTest, RequestsAvoidTargetWithoutCredit)
{
    const TargetId limited = serveWithLimit();
    request({});
    EXPECT_EQ(answerCreditRequests({.retryAfter = 700ms}), 1U);
    request({.id = "try-2"});
    EXPECT_EQ(takeCreditRequests().size(), 0U);
    std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_NE(starts[0].target, limited);
    EXPECT_NE(starts[1].target, limited);
    advance(720ms);
    request({.id = "try-3"});
    EXPECT_EQ(takeCreditRequests().size(), 1U);
}

// Guards against registry hosts that grant credits by a limit that the target has lowered, without a way to tell.
TEST_F(BackpressureTest, CreditRequestsNameTheLimitOfTheTarget)
{
    const TargetId limited = serveWithLimit("2.1");
    advance(300ms);
    request({});
    const std::vector<model::BackpressureNotice> notices = takeTargetLimits();
    ASSERT_EQ(notices.size(), 1U);
    EXPECT_EQ(notices[0].target.target, limited);
    EXPECT_EQ(notices[0].limit, 2.1);
    EXPECT_EQ(notices[0].age, 300ms);
}

TEST_F(BackpressureTest, RequestIsRefusedWithRetryAfterIfNoTargetHasCredit)
{
    installPlan(1);
    reportTargets({target("t-1")});
    serve({{"Saltvane-Limit", "2.1"}});
    request({});
    EXPECT_EQ(answerCreditRequests({.retryAfter = 700ms}), 1U);
    for (int i = 0; i < 2; ++i) {
        const std::optional<requests::HttpRespond> refusal = takeResponse();
        ASSERT_TRUE(refusal);
        EXPECT_EQ(refusal->status, 503);
        EXPECT_EQ(header(refusal->headers, "Saltvane-Reason"), "back-pressure");
        EXPECT_GE(std::stod(header(refusal->headers, "Retry-After")), 0.69);
        EXPECT_LE(std::stod(header(refusal->headers, "Retry-After")), 1.11);
        request({.id = "next"});
    }
}

TEST_F(BackpressureTest, LimitOutlivesRegistryRecordButNotIncarnation)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    record.incarnation = {5};
    reportTargets({record});
    serve({{"Saltvane-Limit", "2.1"}});
    record.sequence = 7;
    reportTargets({record});
    // The registry has received no reports of the target for a long time, so the gateway removes it, and then receives
    // reports again.
    record.age = model::TargetHeartbeatTimeout;
    ++record.sequence;
    reportTargets({record});
    advance(100ms);
    record.age = {};
    ++record.sequence;
    reportTargets({record});
    request({});
    EXPECT_EQ(takeCreditRequests().size(), 1U);
    EXPECT_TRUE(takeStarts().empty());
    record.incarnation = {6};
    reportTargets({record});
    request({.id = "try-2"});
    EXPECT_EQ(takeCreditRequests().size(), 0U);
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(BackpressureTest, LimitReportedByRegistryAppliesUntilRegistryClearsIt)
{
    installPlan(1);
    reportTargets({target("t-1")});
    const model::TargetIncarnation start {.target = TargetId("t-1")};
    deliver(model::BackpressureReport {.notices = {{.target = start, .limit = 2.1, .age = 50ms}}});
    request({});
    EXPECT_EQ(answerCreditRequests({.credits = 1}), 1U);
    deliver(model::BackpressureReport {.notices = {{.target = start, .age = 90ms}}}); // Older.
    request({.id = "try-2"});
    EXPECT_EQ(answerCreditRequests({.credits = 1}), 1U);
    deliver(model::BackpressureReport {.notices = {{.target = start, .age = 10ms}}});
    request({.id = "try-3"});
    EXPECT_EQ(takeCreditRequests().size(), 0U);
    EXPECT_EQ(takeStarts().size(), 3U);
}

TEST_F(BackpressureTest, LimitIsReportedAgainIfRegistryDoesNotKnowIt)
{
    serveWithLimit();
    std::vector<model::BackpressureNotice> reported = takeBackpressure();
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported[0].limit, 2.1);
    request({});
    EXPECT_TRUE(takeBackpressure().empty());
    EXPECT_EQ(answerCreditRequests({}), 1U); // The registry does not know the limit.
    advance(100ms);
    EXPECT_EQ(takeBackpressure().size(), 1U);
}

TEST_F(BackpressureTest, CreditOfAbortedRequestServesNextRequest)
{
    const TargetId limited = serveWithLimit();
    const requests::HttpHandle aborted = request({});
    abort(aborted);
    EXPECT_EQ(answerCreditRequests({.credits = 1}), 1U);
    request({.id = "try-2"});
    EXPECT_EQ(takeCreditRequests().size(), 0U);
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, limited);
}

// Guards against probes occupying slots of targets that are short of them.
TEST_F(BackpressureTest, TargetWithLimitIsNotProbed)
{
    const TargetId limited = serveWithLimit();
    request({.path = "/write/1", .id = "once", .body = "pay"});
    EXPECT_EQ(answerCreditRequests({.credits = 1}), 1U);
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, limited);
    stopTarget(starts[0], false);
    EXPECT_TRUE(takeProbes().empty());
}

TEST_F(BackpressureTest, HugeLimitNeedsNoCredits)
{
    serveWithLimit("1e300");
    request({});
    EXPECT_EQ(takeCreditRequests().size(), 0U);
    EXPECT_EQ(takeStarts().size(), 1U);
}

} // namespace saltvane::gateway::test
