/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

namespace saltvane::gateway::test {

namespace {

class RequestTest : public GatewayFixture { };

const model::Header NotRun {.name = "Saltvane-Not-Run", .value = "1"};

} // namespace

TEST_F(RequestTest, RequestsWithoutPlanAreRefusedAsRetryable)
{
    request({});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    // A start takes 0.2 to 0.6 s: a caller that came back sooner would be refused on its second and last attempt.
    EXPECT_GE(std::stod(header(response->headers, "Retry-After")), 0.3);
}

TEST_F(RequestTest, RefusalClosesConnectionButResponseDoesNot)
{
    installPlan(1);
    request({});
    EXPECT_EQ(header(takeResponse()->headers, "Connection"), "close");
    // While the body is arriving, a close may reset the connection before the refusal is read.
    request({.method = "POST", .path = "/write/1", .body = "pay"});
    EXPECT_EQ(takeResponse()->status, 503);
    reportTargets({target("t-1")});
    request({});
    answer(takeStarts().at(0), {});
    EXPECT_TRUE(header(takeResponse()->headers, "Connection").empty());
}

TEST_F(RequestTest, ResponseIsForwardedUnchanged)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({});
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Expect-Target"), "t-1");
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Request-Id"), "try-1");
    EXPECT_EQ(header(starts[0].headers, "Connection"), "");
    EXPECT_LE(std::stoi(header(starts[0].headers, "Saltvane-Deadline-Ms")), 1500);
    answer(starts[0], {.status = 203, .extraHeaders = {{.name = "Signature", .value = "abc"}}});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 203);
    EXPECT_EQ(response->bytes, "answer");
    EXPECT_EQ(header(response->headers, "Signature"), "abc");
}

TEST_F(RequestTest, LongestPrefixMatches)
{
    installPlan(1,
        R"(,{"name":"deep","host":"prices.example","path_prefix":"/read/deep/","kind":"repeatable",
            "timeout_ms":1500,"service":"files","attempts":1})");
    reportTargets({target("t-1"), target("f-1", "files")});
    request({.path = "/read/deep/1?x=/read/"});
    request({.path = "/read/deeper"});
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_EQ(starts[0].target, TargetId("f-1"));
    EXPECT_EQ(starts[1].target, TargetId("t-1"));
}

TEST_F(RequestTest, UnknownRouteIsNotFound)
{
    installPlan(1);
    request({.path = "/other/"});
    request({.host = "other.example"});
    EXPECT_EQ(takeResponse()->status, 404);
    EXPECT_EQ(takeResponse()->status, 404);
}

TEST_F(RequestTest, UnknownRouteIsRetryableWhileNewerPlanIsFetched)
{
    installPlan(1);
    startFetchingPlan(2);
    request({.path = "/other/"});
    const auto response = takeResponse();
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(header(response->headers, "Retry-After"), "0.400");
}

TEST_F(RequestTest, UnknownRouteIsRetryableWithUnprovenPlan)
{
    installPlan(1);
    advance(1400ms);
    request({.path = "/other/"});
    EXPECT_EQ(takeResponse()->status, 404);
    advance(200ms);
    request({.path = "/other/"});
    EXPECT_EQ(takeResponse()->status, 503);
}

TEST_F(RequestTest, AtMostOnceIsNotRetriedOnceAByteMayHaveArrived)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({.method = "POST", .path = "/write/1", .body = "x"});
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    fail(starts[0], true);
    EXPECT_TRUE(takeStarts().empty());
    EXPECT_EQ(takeResponse()->status, 502);
}

TEST_F(RequestTest, AtMostOnceIsRetriedIfTargetDidNotRunIt)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({.method = "POST", .path = "/write/1", .body = "x"});
    const auto first = takeStarts();
    answer(first.at(0), {.status = 503, .extraHeaders = {NotRun}});
    const auto second = takeStarts();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].target, first[0].target);
    // Its attempts are used up, and it was certainly not run.
    answer(second[0], {.status = 503, .extraHeaders = {NotRun}});
    const auto response = takeResponse();
    EXPECT_EQ(response->status, 503);
    EXPECT_FALSE(header(response->headers, "Retry-After").empty());
    EXPECT_TRUE(takeStarts().empty());
}

TEST_F(RequestTest, RetryWithoutTargetIsNotReportedAsNotRun)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({});
    fail(takeStarts().at(0), true);
    EXPECT_EQ(takeResponse()->status, 502);
}

TEST_F(RequestTest, RepeatableIsRetriedAtAnotherTarget)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({});
    const auto first = takeStarts();
    fail(first.at(0), true);
    const auto second = takeStarts();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].target, first[0].target);
    answer(second[0], {});
    EXPECT_EQ(takeResponse()->status, 200);
}

TEST_F(RequestTest, ResponseOfAnotherRequestIsNotForwarded)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({.method = "POST", .path = "/write/1"});
    answer(takeStarts().at(0), {.id = "try-0", .body = "foreign"});
    const auto response = takeResponse();
    EXPECT_EQ(response->status, 502);
    EXPECT_EQ(response->bytes.find("foreign"), std::string::npos);
    EXPECT_EQ(takeCancels(), 1U);
}

// Guards against a request that runs twice, or whose caller is told that it has not run: a second copy of a refusal
// without an id arrives on the kept connection on which the request waits.
TEST_F(RequestTest, RefusalWithoutIdOnAKeptConnectionDoesNotTellThatTheRequestWasNotRun)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    for (const int status : {503, 421}) {
        request({.method = "POST", .path = "/write/1"});
        answer(takeStarts().at(0), {.status = status, .id = "", .extraHeaders = {NotRun}});
        EXPECT_TRUE(takeStarts().empty());
        EXPECT_EQ(takeResponse()->status, 502);
    }
}

// Guards against refusals that can't be retried, since their target leaves the id out.
TEST_F(RequestTest, RefusalWithoutIdOnANewConnectionIsRetriedElsewhere)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({.method = "POST", .path = "/write/1"});
    answer(takeStarts().at(0), {.status = 503, .id = "", .extraHeaders = {NotRun}, .isNewConnection = true});
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against a target that is chosen or avoided by a load that another request's response states.
TEST_F(RequestTest, LoadInAResponseOfAnotherRequestIsIgnored)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({});
    answer(takeStarts().at(0), {.id = "try-0", .extraHeaders = {{.name = "Saltvane-Load", .value = "50,50,2"}}});
    (void)takeResponse();
    request({.id = "try-2"});
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(RequestTest, MisdirectedTargetIsNotUsedAgain)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({.method = "POST", .path = "/write/1"});
    const auto first = takeStarts();
    answer(first.at(0), {.status = 421, .id = "", .isNewConnection = true});
    const TargetId misdirected = first[0].target;
    EXPECT_EQ(takeStarts().size(), 1U);
    for (int i = 0; i < 20; ++i)
        request({.object = std::to_string(i)});
    for (const requests::TargetStart& start : takeStarts())
        EXPECT_NE(start.target, misdirected);
}

TEST_F(RequestTest, AbortByCallerCancelsRun)
{
    installPlan(1);
    reportTargets({target("t-1")});
    const requests::HttpHandle handle = request({});
    ASSERT_EQ(takeStarts().size(), 1U);
    abort(handle);
    EXPECT_EQ(takeCancels(), 1U);
    EXPECT_FALSE(takeResponse());
}

TEST_F(RequestTest, RouteTimeoutFailsRequest)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({.method = "POST", .path = "/write/1", .deadlineMs = "9000"});
    ASSERT_EQ(takeStarts().size(), 1U);
    advance(1900ms);
    EXPECT_FALSE(takeResponse());
    advance(200ms);
    EXPECT_EQ(takeResponse()->status, 504);
    EXPECT_EQ(takeCancels(), 1U);
}

// Guards against leaving an unresponsive target although no other can take the request, which ended in a 504 while the
// target was still processing it.
TEST_F(RequestTest, UnresponsiveTargetIsKeptIfNoOtherCanTakeTheRequest)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({});
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    advance(1400ms);
    EXPECT_EQ(takeCancels(), 0U);
    EXPECT_FALSE(takeResponse());
    answer(starts[0], {});
    EXPECT_EQ(takeResponse()->status, 200);
}

TEST_F(RequestTest, UnresponsiveTargetIsReplacedByAnother)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({});
    const auto first = takeStarts();
    advance(1300ms);
    const auto second = takeStarts();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].target, first.at(0).target);
    EXPECT_EQ(takeCancels(), 1U);
}

// Guards against accepting requests until the process stops: a request accepted 5.3 s after the stop was requested was
// cut off by the end of the process.
TEST_F(RequestTest, StoppingGatewayRefusesNewRequestsAfterItsTtl)
{
    installPlan(1);
    reportTargets({target("t-1")});
    requestStop();
    request({});
    const auto early = takeStarts();
    ASSERT_EQ(early.size(), 1U); // Callers still cache look-up answers.
    advance(3100ms);
    request({});
    EXPECT_TRUE(takeStarts().empty());
    (void)takeResponse(); // Response to the first request, at its timeout.
    const auto refused = takeResponse();
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(header(refused->headers, "Connection"), "close");
    deliverResponse({1});
    deliverResponse({2});
    advance(200ms);
    EXPECT_TRUE(takeStopFinished());
}

// Guards against the process stopping while a large response is still being sent to the caller.
TEST_F(RequestTest, StopWaitsForPendingResponses)
{
    installPlan(1);
    reportTargets({target("t-1")});
    const requests::HttpHandle handle = request({});
    requestStop();
    answer(takeStarts().at(0), {});
    advance(4s);
    EXPECT_FALSE(takeStopFinished());
    deliverResponse(handle);
    advance(200ms);
    EXPECT_TRUE(takeStopFinished());
}

TEST_F(RequestTest, RefusalOfEarlierRequestIsNotAccepted)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    request({.method = "POST", .path = "/write/1"});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    answer(starts[0], {.status = 503, .id = "try-0", .extraHeaders = {NotRun}});
    EXPECT_TRUE(takeStarts().empty()); // It may still be run by the first target.
    EXPECT_EQ(takeResponse()->status, 502);
}

} // namespace saltvane::gateway::test
