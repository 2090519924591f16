/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "backpressurefixture.h"
#include "gateway/internal/targetbackpressure.h"

namespace saltvane::gateway::test {

TEST(RequestedBackoffTest, ReadsSeconds)
{
    const auto read = [](const std::vector<std::string>& values) {
        std::vector<model::Header> headers;
        for (const std::string& value : values)
            headers.push_back({.name = "Retry-After", .value = value});
        return readRequestedBackoff(headers);
    };
    EXPECT_FALSE(read({}).isRequested);
    EXPECT_EQ(read({"3"}).duration, 3s);
    EXPECT_EQ(read({"0.25"}).duration, 250ms);
    EXPECT_EQ(read({"0"}).duration, 0s);
    EXPECT_EQ(read({"1e300"}).duration, MaxBackoff);
    EXPECT_EQ(read({"1", "2.5"}).duration, 2500ms);
    for (const char* text : {"", "-1", "nan", "inf", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        EXPECT_TRUE(read({text}).isRequested) << text;
        EXPECT_FALSE(read({text}).duration) << text;
    }
}

TEST_F(BackpressureTest, BackoffAndLeavingAreLogged)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    answer(starts[0],
        {.status = 503, .extraHeaders = {{"Saltvane-Not-Run", "1"}, {"Retry-After", "3"}, {"Saltvane-Leaving", "1"}}});
    const std::vector<std::string> lines = drainLogLines();
    EXPECT_EQ(std::ranges::count(lines, "event=target_rest target=t-1 service=quotes seconds=3"), 1);
    EXPECT_EQ(std::ranges::count(lines, "event=target_leaving target=t-1 service=quotes told_by=target"), 1);
}

/// A response with a Retry-After: its status, whether it states that the request was not run, and whether the backoff
/// is applied.
struct BackoffCase {
    int status = 503;
    bool isNotRun = true;
    bool isApplied = true;
};
class BackoffTest : public BackpressureTest, public testing::WithParamInterface<BackoffCase> { };

TEST_P(BackoffTest, TargetGetsNoRequestsDuringRequestedBackoff)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({});
    std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    const TargetId backingOff = starts[0].target;
    std::vector<model::Header> headers {{"Retry-After", "2.5"}, {"Saltvane-Load", "0,0,3"}};
    if (GetParam().isNotRun)
        headers.push_back({"Saltvane-Not-Run", "1"});
    answer(starts[0], {.status = GetParam().status, .extraHeaders = headers});
    (void)takeStarts(); // The retry.
    const auto isSentThere = [&] {
        request({.id = "next"});
        starts = takeStarts();
        return !starts.empty() && starts.front().target == backingOff;
    };
    EXPECT_EQ(isSentThere(), !GetParam().isApplied);
    advance(2480ms);
    EXPECT_EQ(isSentThere(), !GetParam().isApplied);
    advance(40ms);
    EXPECT_TRUE(isSentThere());
}

INSTANTIATE_TEST_SUITE_P(Answers, BackoffTest,
    testing::Values(BackoffCase {}, BackoffCase {.isNotRun = false}, BackoffCase {.status = 429},
        BackoffCase {.status = 429, .isNotRun = false, .isApplied = false},
        BackoffCase {.status = 200, .isNotRun = false, .isApplied = false}));

TEST_F(BackpressureTest, LaterBackoffEndAppliesAcrossRegistryReports)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    reportTargets({record});
    request({.id = "a"});
    request({.id = "b"});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 2U);
    answer(starts[0], {.status = 503, .id = "a", .extraHeaders = {{"Saltvane-Not-Run", "1"}, {"Retry-After", "3"}}});
    answer(starts[1], {.status = 503, .id = "b", .extraHeaders = {{"Saltvane-Not-Run", "1"}, {"Retry-After", "0.5"}}});
    advance(1s);
    record.sequence = 9;
    reportTargets({record});
    request({.id = "c"});
    EXPECT_TRUE(takeStarts().empty());
    advance(2s);
    request({.id = "d"});
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against requests that waited for a credit being sent during a backoff that began meanwhile.
TEST_F(BackpressureTest, RequestThatWaitedForCreditIsNotSentDuringBackoff)
{
    const TargetId limited = serveWithLimit();
    request({.id = "a"});
    EXPECT_EQ(answerCreditRequests({.credits = 1}), 1U);
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    request({.id = "b"});
    answer(starts[0], {.status = 503, .id = "a", .extraHeaders = {{"Saltvane-Not-Run", "1"}, {"Retry-After", "3"}}});
    (void)takeStarts();
    EXPECT_GE(answerCreditRequests({.credits = 1}), 1U);
    for (const requests::TargetStart& start : takeStarts())
        EXPECT_NE(start.target, limited);
}

TEST_F(BackpressureTest, TargetThatAnnouncesLeavingGetsNoRequests)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    record.incarnation = {5};
    reportTargets({record});
    serve({{"Saltvane-Leaving", "0"}});
    serve({{"Saltvane-Leaving", "1"}});
    for (int report = 0; report < 3; ++report) {
        record.sequence += 2;
        record.age = report == 1 ? model::TargetHeartbeatTimeout : 0s; // It is removed, and reported again.
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

// Guards against targets that other gateways go on using because the registry hosts that were told of the leave have
// just stopped.
TEST_F(BackpressureTest, LeavingNoticeIsRepeatedUntilTheRegistryListsTheTargetAsLeaving)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    reportTargets({record});
    serve({{"Saltvane-Leaving", "1"}});
    EXPECT_EQ(takeLeavingNotices().size(), 1U);
    for (int repeat = 0; repeat < 2; ++repeat) {
        ++record.sequence;
        reportTargets({record}); // Of a registry host that was not told.
        advance(1100ms);
        EXPECT_EQ(takeLeavingNotices(),
            std::vector<model::TargetIncarnation>({{.target = record.target, .incarnation = record.incarnation}}));
    }
    ++record.sequence;
    record.isLeaving = true;
    reportTargets({record});
    advance(3s);
    EXPECT_TRUE(takeLeavingNotices().empty());
}

TEST_F(BackpressureTest, LeavingCountsInRefusalsAndProbeResponses)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({.path = "/write/1", .id = "once", .body = "pay"});
    std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    const TargetId first = starts[0].target;
    stopTarget(starts[0], false);
    const std::vector<requests::TargetStart> probes = takeProbes();
    ASSERT_EQ(probes.size(), 1U);
    answer(probes[0], {.status = 503, .id = "", .extraHeaders = {{"Saltvane-Leaving", "1"}}});
    request({.id = "next"});
    starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_NE(starts[0].target, first);
    answer(starts[0],
        {.status = 503, .id = "next", .extraHeaders = {{"Saltvane-Not-Run", "1"}, {"Saltvane-Leaving", "1"}}});
    request({.id = "last"});
    EXPECT_TRUE(takeStarts().empty());
}

} // namespace saltvane::gateway::test
