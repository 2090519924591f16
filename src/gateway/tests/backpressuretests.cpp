/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetbackpressure.h"
#include "gatewayfixture.h"

#include <algorithm>

namespace saltvane::gateway::test {

namespace {

class BackpressureTest : public GatewayFixture {
protected:
    /// One request, answered with these headers.
    void serve(const std::vector<model::Header>& headers)
    {
        request({});
        answerCreditAsks({.credits = 1});
        for (const requests::TargetStart& start : takeStarts())
            answer(start, {.more = headers});
        (void)takeResponse();
    }
    /// The registry answers all asks for credits so; returns how many there were.
    size_t answerCreditAsks(const model::LimitCreditAnswer& given)
    {
        const std::vector<model::LimitCreditAsk> asks = takeCreditAsks();
        for (const model::LimitCreditAsk& ask : asks) {
            model::LimitCreditAnswer answer = given;
            answer.ask = ask.ask;
            deliver(model::LimitCreditReply {.answers = {answer}});
        }
        return asks.size();
    }
    /// Both targets of "quotes" are known, and the one that the usual request goes to names a limit. Returns it.
    TargetId limitFirst(const std::string& limit = "2.1")
    {
        installPlan(1);
        reportTargets({target("t-1"), target("t-2")});
        request({});
        const std::vector<requests::TargetStart> starts = takeStarts();
        if (starts.size() != 1)
            return {};
        answer(starts[0], {.more = {{"Saltvane-Limit", limit}}});
        (void)takeResponse();
        return starts[0].target;
    }
    [[nodiscard]] bool isLogged(const std::string& text)
    {
        const std::vector<std::string> lines = takeLines();
        return std::ranges::any_of(
            lines, [&](const std::string& line) { return line.find(text) != std::string::npos; });
    }
};

NamedLimit limitOf(const std::vector<std::string>& values)
{
    std::vector<model::Header> headers;
    for (const std::string& value : values)
        headers.push_back({.name = "Saltvane-Limit", .value = value});
    return readNamedLimit(headers, "saltvane-limit");
}

} // namespace

TEST(NamedLimitTest, ReadsDecimalNumbers)
{
    EXPECT_FALSE(limitOf({}).isNamed);
    EXPECT_EQ(limitOf({"2.1"}).perSecond, 2.1);
    EXPECT_EQ(limitOf({" 2.1 "}).perSecond, 2.1);
    EXPECT_EQ(limitOf({"0"}).perSecond, 0);
    EXPECT_EQ(limitOf({"0.0"}).perSecond, 0);
    EXPECT_EQ(limitOf({"1e300"}).perSecond, 1e300);
    EXPECT_EQ(limitOf({"7", "2.5"}).perSecond, 2.5);
    EXPECT_EQ(limitOf({"7", "many"}).perSecond, 7);
}

TEST(NamedLimitTest, WhatIsNoNumberIsNamedAndNotRead)
{
    for (const char* text : {"", "many", "-1", "-0", "nan", "inf", "1e999", "2.1 1", "2,1", "0x10"}) {
        const NamedLimit limit = limitOf({text});
        EXPECT_TRUE(limit.isNamed) << text;
        EXPECT_FALSE(limit.perSecond) << text;
    }
}

TEST(WantedRestTest, ReadsSeconds)
{
    const auto read = [](const std::vector<std::string>& values) {
        std::vector<model::Header> headers;
        for (const std::string& value : values)
            headers.push_back({.name = "Retry-After", .value = value});
        return readWantedRest(headers);
    };
    EXPECT_FALSE(read({}).isWanted);
    EXPECT_EQ(read({"3"}).duration, 3s);
    EXPECT_EQ(read({"0.25"}).duration, 250ms);
    EXPECT_EQ(read({"0"}).duration, 0s);
    EXPECT_EQ(read({"1e300"}).duration, LongestRest);
    EXPECT_EQ(read({"1", "2.5"}).duration, 2500ms);
    for (const char* text : {"", "-1", "nan", "inf", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        EXPECT_TRUE(read({text}).isWanted) << text;
        EXPECT_FALSE(read({text}).duration) << text;
    }
}

TEST_F(BackpressureTest, RestAndLeavingAreLogged)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    answer(starts[0],
        {.status = 503, .more = {{"Saltvane-Not-Run", "1"}, {"Retry-After", "3"}, {"Saltvane-Leaving", "1"}}});
    const std::vector<std::string> lines = takeLines();
    EXPECT_EQ(std::ranges::count(lines, "event=target_rest target=t-1 service=quotes seconds=3"), 1);
    EXPECT_EQ(std::ranges::count(lines, "event=target_leaving target=t-1 service=quotes told_by=target"), 1);
}

TEST_F(BackpressureTest, ALimitIsLoggedAsItIsNamedAndAsItEnds)
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

TEST_F(BackpressureTest, AnAnswerToAnEarlierRequestDoesNotEndALimit)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({.id = "earlier"});
    advance(100ms);
    request({.id = "later"});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 2U);
    answer(starts[1], {.id = "later", .more = {{"Saltvane-Limit", "2.1"}}});
    answer(starts[0], {.id = "earlier"});
    EXPECT_FALSE(isLogged("per_second=none"));
}

TEST_F(BackpressureTest, ATargetWithALimitIsSentARequestForACreditOnly)
{
    const TargetId limited = limitFirst();
    request({});
    EXPECT_TRUE(takeStarts().empty());
    EXPECT_EQ(answerCreditAsks({.credits = 1}), 1U);
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, limited);
}

TEST_F(BackpressureTest, WithoutACreditARequestGoesElsewhereAndTheNextOnesAtOnce)
{
    const TargetId limited = limitFirst();
    request({});
    EXPECT_EQ(answerCreditAsks({.retryAfter = 700ms}), 1U);
    request({.id = "try-2"});
    EXPECT_EQ(takeCreditAsks().size(), 0U);
    std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_NE(starts[0].target, limited);
    EXPECT_NE(starts[1].target, limited);
    advance(720ms);
    request({.id = "try-3"});
    EXPECT_EQ(takeCreditAsks().size(), 1U);
}

TEST_F(BackpressureTest, WhereNoTargetHasACreditARequestIsRefusedAtOnceWithTheTimeOfOne)
{
    installPlan(1);
    reportTargets({target("t-1")});
    serve({{"Saltvane-Limit", "2.1"}});
    request({});
    EXPECT_EQ(answerCreditAsks({.retryAfter = 700ms}), 1U);
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

TEST_F(BackpressureTest, ALimitOutlivesTheRegistrysWordOfItsStartAndNotTheStart)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    record.incarnation = {5};
    reportTargets({record});
    serve({{"Saltvane-Limit", "2.1"}});
    record.sequence = 7;
    reportTargets({record});
    // The registry has not heard of it for long, so that it is forgotten, and hears of it again.
    record.age = model::TargetSilenceLimit;
    ++record.sequence;
    reportTargets({record});
    advance(100ms);
    record.age = {};
    ++record.sequence;
    reportTargets({record});
    request({});
    EXPECT_EQ(takeCreditAsks().size(), 1U);
    EXPECT_TRUE(takeStarts().empty());
    record.incarnation = {6};
    reportTargets({record});
    request({.id = "try-2"});
    EXPECT_EQ(takeCreditAsks().size(), 0U);
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(BackpressureTest, ALimitOfWhichTheRegistryTellsBindsAndEndsAsItSays)
{
    installPlan(1);
    reportTargets({target("t-1")});
    const model::TargetIncarnation start {.target = TargetId("t-1")};
    deliver(model::BackpressureReport {.notices = {{.target = start, .limit = 2.1, .age = 50ms}}});
    request({});
    EXPECT_EQ(answerCreditAsks({.credits = 1}), 1U);
    deliver(model::BackpressureReport {.notices = {{.target = start, .age = 90ms}}}); // Older.
    request({.id = "try-2"});
    EXPECT_EQ(answerCreditAsks({.credits = 1}), 1U);
    deliver(model::BackpressureReport {.notices = {{.target = start, .age = 10ms}}});
    request({.id = "try-3"});
    EXPECT_EQ(takeCreditAsks().size(), 0U);
    EXPECT_EQ(takeStarts().size(), 3U);
}

TEST_F(BackpressureTest, WhatIsHeardOfALimitIsToldAndAgainWhereNobodyKnowsIt)
{
    limitFirst();
    std::vector<model::BackpressureNotice> told = takeBackpressure();
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].limit, 2.1);
    request({});
    EXPECT_TRUE(takeBackpressure().empty());
    EXPECT_EQ(answerCreditAsks({}), 1U); // It knows of no such limit.
    advance(100ms);
    EXPECT_EQ(takeBackpressure().size(), 1U);
}

TEST_F(BackpressureTest, ACreditWhoseCallerLeftServesTheNextRequest)
{
    const TargetId limited = limitFirst();
    const requests::HttpHandle gone = request({});
    abort(gone);
    EXPECT_EQ(answerCreditAsks({.credits = 1}), 1U);
    request({.id = "try-2"});
    EXPECT_EQ(takeCreditAsks().size(), 0U);
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, limited);
}

/// How targets ask for rest: status, whether they say that the request was not run, and whether that is heard.
struct RestCase {
    int status = 503;
    bool isNotRun = true;
    bool isHeard = true;
};
class RestTest : public BackpressureTest, public testing::WithParamInterface<RestCase> { };

TEST_P(RestTest, ATargetThatAskedForRestIsSentNothingUntilItEnds)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({});
    std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    const TargetId resting = starts[0].target;
    std::vector<model::Header> headers {{"Retry-After", "2.5"}, {"Saltvane-Load", "0,0,3"}};
    if (GetParam().isNotRun)
        headers.push_back({"Saltvane-Not-Run", "1"});
    answer(starts[0], {.status = GetParam().status, .more = headers});
    (void)takeStarts(); // Its repeat.
    const auto isSentThere = [&] {
        request({.id = "next"});
        starts = takeStarts();
        return !starts.empty() && starts.front().target == resting;
    };
    EXPECT_EQ(isSentThere(), !GetParam().isHeard);
    advance(2480ms);
    EXPECT_EQ(isSentThere(), !GetParam().isHeard);
    advance(40ms);
    EXPECT_TRUE(isSentThere());
}

INSTANTIATE_TEST_SUITE_P(Answers, RestTest,
    testing::Values(RestCase {}, RestCase {.isNotRun = false}, RestCase {.status = 429},
        RestCase {.status = 429, .isNotRun = false, .isHeard = false},
        RestCase {.status = 200, .isNotRun = false, .isHeard = false}));

TEST_F(BackpressureTest, OfTwoRestsTheLaterEndHoldsAndOutlivesTheRegistrysWord)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    reportTargets({record});
    request({.id = "a"});
    request({.id = "b"});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 2U);
    answer(starts[0], {.status = 503, .id = "a", .more = {{"Saltvane-Not-Run", "1"}, {"Retry-After", "3"}}});
    answer(starts[1], {.status = 503, .id = "b", .more = {{"Saltvane-Not-Run", "1"}, {"Retry-After", "0.5"}}});
    advance(1s);
    record.sequence = 9;
    reportTargets({record});
    request({.id = "c"});
    EXPECT_TRUE(takeStarts().empty());
    advance(2s);
    request({.id = "d"});
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against requests that waited for a credit being sent into a rest that began meanwhile.
TEST_F(BackpressureTest, ARequestThatWaitedForACreditIsNotSentIntoARest)
{
    const TargetId limited = limitFirst();
    request({.id = "a"});
    EXPECT_EQ(answerCreditAsks({.credits = 1}), 1U);
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    request({.id = "b"});
    answer(starts[0], {.status = 503, .id = "a", .more = {{"Saltvane-Not-Run", "1"}, {"Retry-After", "3"}}});
    (void)takeStarts();
    EXPECT_GE(answerCreditAsks({.credits = 1}), 1U);
    for (const requests::TargetStart& start : takeStarts())
        EXPECT_NE(start.target, limited);
}

TEST_F(BackpressureTest, ATargetThatSaysThatItLeavesGetsNothingWhateverTheRegistryReports)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    record.incarnation = {5};
    reportTargets({record});
    serve({{"Saltvane-Leaving", "0"}});
    serve({{"Saltvane-Leaving", "1"}});
    for (int report = 0; report < 3; ++report) {
        record.sequence += 2;
        record.age = report == 1 ? model::TargetSilenceLimit : 0s; // It is forgotten, and heard of again.
        reportTargets({record});
        advance(100ms);
        request({});
        EXPECT_TRUE(takeStarts().empty());
    }
    record.incarnation = {6};
    reportTargets({record});
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(BackpressureTest, ATargetThatSaysSoInARefusalOrAProbesAnswerLeavesAsWell)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({.path = "/write/1", .id = "once", .body = "pay"});
    std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    const TargetId first = starts[0].target;
    endTarget(starts[0], false);
    const std::vector<requests::TargetStart> probes = takeProbes();
    ASSERT_EQ(probes.size(), 1U);
    answer(probes[0], {.status = 503, .id = "", .more = {{"Saltvane-Leaving", "1"}}});
    request({.id = "next"});
    starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_NE(starts[0].target, first);
    answer(starts[0], {.status = 503, .id = "next", .more = {{"Saltvane-Not-Run", "1"}, {"Saltvane-Leaving", "1"}}});
    request({.id = "last"});
    EXPECT_TRUE(takeStarts().empty());
}

// Guards against probes taking the slots of targets that have too few.
TEST_F(BackpressureTest, ATargetThatNamesALimitIsNotProbed)
{
    const TargetId limited = limitFirst();
    request({.path = "/write/1", .id = "once", .body = "pay"});
    EXPECT_EQ(answerCreditAsks({.credits = 1}), 1U);
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, limited);
    endTarget(starts[0], false);
    EXPECT_TRUE(takeProbes().empty());
}

TEST_F(BackpressureTest, AHugeLimitCostsNothing)
{
    limitFirst("1e300");
    request({});
    EXPECT_EQ(takeCreditAsks().size(), 0U);
    EXPECT_EQ(takeStarts().size(), 1U);
}

} // namespace saltvane::gateway::test
