/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

/// Requests of a gateway in its planned stop: those that can end before its time limit are served, all others are
/// refused.
namespace saltvane::gateway::test {

namespace {

const std::string LongRoutes = R"(,
    {"name":"order","host":"prices.example","path_prefix":"/order/","kind":"at_most_once","timeout_ms":20000,
     "objective_ms":500,"rank":0,"service":"quotes","attempts":2},
    {"name":"search","host":"prices.example","path_prefix":"/search/","kind":"repeatable","timeout_ms":20000,
     "objective_ms":500,"rank":0,"service":"quotes","attempts":2},
    {"name":"report","host":"prices.example","path_prefix":"/report/","kind":"at_most_once","timeout_ms":20000,
     "objective_ms":3000,"rank":0,"service":"quotes","attempts":2},
    {"name":"tape","host":"prices.example","path_prefix":"/tape/","kind":"large_read","timeout_ms":20000,
     "objective_ms":500,"rank":0,"service":"files","attempts":2})";
constexpr Duration StopEnd = 5500ms; ///< After the stop was requested.

/// Callers still come until the end of the stop, since they may keep look-up answers for 5 s.
class PlannedStopTest : public GatewayFixture {
protected:
    PlannedStopTest()
        : GatewayFixture(FixtureOptions {.lookUpTtl = 5s})
    {
        installPlan(1, LongRoutes);
        reportTargets({target("t-1"), target("t-2", "quotes", "north-b"), target("t-3", "files")});
    }
    static CallerRequest to(const std::string& path) { return {.path = path, .deadlineMs = "20000"}; }
    requests::TargetStart onlyStart()
    {
        const std::vector<requests::TargetStart> starts = takeStarts();
        EXPECT_EQ(starts.size(), 1U);
        return starts.empty() ? requests::TargetStart {} : starts.front();
    }
    void sendFirstByte(const requests::TargetStart& start)
    {
        EXPECT_EQ(gateway_->recheckDispatch(start.dispatch, now_), model::Reason::None);
    }
    /// Dispatches a request whose first byte is sent at once.
    requests::TargetStart send(const CallerRequest& caller)
    {
        (void)request(caller);
        requests::TargetStart start = onlyStart();
        sendFirstByte(start);
        return start;
    }
    /// Serves one request, so that the gateway learns how long it takes.
    void serve(const CallerRequest& caller, Duration time)
    {
        const requests::HttpHandle handle = request(caller);
        const requests::TargetStart start = onlyStart();
        sendFirstByte(start);
        advance(time);
        answer(start, {});
        (void)takeResponse();
        deliverResponse(handle);
    }
    void expectRefusal()
    {
        EXPECT_TRUE(takeStarts().empty());
        const auto response = takeResponse();
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 503);
        EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "stopping");
        EXPECT_EQ(header(response->headers, "Retry-After"), "0.050");
        EXPECT_EQ(header(response->headers, "Connection"), "close");
    }
    /// No target accepts connections; the requests that show it are forwarded to peers and answered.
    void isolate()
    {
        const auto peer = [](const std::string& ip) {
            return model::PeerRecord {.host = HostId(ip + ":7000"),
                .zone = ZoneName("north-a"),
                .region = RegionName("north"),
                .frontAddress = {.ip = ip, .port = 8000}};
        };
        deliver(model::PeerReport {.peers = {peer("10.0.0.2"), peer("10.0.0.3")}});
        for (int i = 0; i < 3 && !gateway_->status(now_).areTargetsUnreachable; ++i) {
            request({.path = i == 2 ? "/file/1" : "/read/1", .object = std::to_string(i)});
            for (int attempts = 0; attempts < 3; ++attempts) {
                for (const requests::TargetStart& start : takeStarts()) {
                    if (isToPeer(start))
                        answer(start, {});
                    else
                        fail(start, false);
                }
            }
        }
        ASSERT_TRUE(gateway_->status(now_).areTargetsUnreachable);
        while (takeResponse()) { }
    }
    static bool isToPeer(const requests::TargetStart& start) { return start.address.port == 8000; }
};

} // namespace

// Guards against requests that a stopping gateway takes as long as callers still come, and that its end cuts off.
TEST_F(PlannedStopTest, RequestThatNeedsLongerThanIsLeftIsRefused)
{
    serve(to("/order/1"), 2s);
    requestStop();
    advance(4s);
    request(to("/order/2"));
    expectRefusal();
}

// Guards against refusals of requests for which there is time.
TEST_F(PlannedStopTest, RequestThatFitsIsServed)
{
    for (int i = 0; i < 1000; ++i)
        serve(to("/search/1"), 20ms);
    requestStop();
    advance(4800ms);
    serve(to("/search/1"), 20ms);
}

// Guards against initial times, and objectives, that count although a route's responses are known to take less.
TEST_F(PlannedStopTest, LearntTimesReplaceTheInitialOnes)
{
    for (int i = 0; i < 30; ++i)
        serve(to("/report/1"), 1s);
    requestStop();
    advance(4s);
    serve(to("/report/1"), 1s);
}

// Guards against refusals of requests that end in time whatever their target does.
TEST_F(PlannedStopTest, RequestWhoseDeadlineComesBeforeTheEndIsTaken)
{
    serve(to("/order/1"), 2s);
    requestStop();
    advance(4s);
    request({.path = "/order/2", .deadlineMs = "1000"});
    (void)onlyStart();
    advance(1s);
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "deadline-exceeded");
    EXPECT_FALSE(takeStopFinished());
}

// Guards against requests that fitted on arrival and whose body came later.
TEST_F(PlannedStopTest, RequestWhoseBodyComesTooLateIsRefused)
{
    serve(to("/order/1"), 2s);
    requestStop();
    advance(1s);
    CallerRequest late = to("/order/2");
    late.body = "2 contracts";
    const requests::HttpHandle handle = sendRequestHead(late);
    advance(3s);
    EXPECT_FALSE(takeResponse());
    sendRequestBody(handle, late.body);
    expectRefusal();
}

// Guards against requests that fitted when they were dispatched, and whose connection was established later.
TEST_F(PlannedStopTest, RequestWhoseConnectionComesTooLateIsWithheld)
{
    serve(to("/order/1"), 2s);
    requestStop();
    advance(1s);
    request(to("/order/2"));
    const requests::TargetStart start = onlyStart();
    EXPECT_EQ(gateway_->recheckDispatch(start.dispatch, now_), model::Reason::None);
    advance(3s);
    const model::Reason reason = gateway_->recheckDispatch(start.dispatch, now_);
    EXPECT_EQ(reason, model::Reason::Stopping);
    withhold(start, reason);
    expectRefusal();
}

// Guards against second attempts that start too late, where the first one was not run.
TEST_F(PlannedStopTest, RequestThatATargetRefusesTooLateIsRefused)
{
    serve(to("/search/1"), 1500ms);
    requestStop();
    advance(2s);
    const requests::TargetStart start = send(to("/search/2"));
    advance(1700ms);
    answer(start, {.status = 503, .extraHeaders = {{.name = "Saltvane-Not-Run", .value = "1"}}});
    EXPECT_TRUE(takeStarts().empty());
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
}

// Guards against second attempts that start too late, where the first one may have been run.
TEST_F(PlannedStopTest, RequestThatLosesItsTargetTooLateIsNotSentToAnother)
{
    serve(to("/search/1"), 1500ms);
    requestStop();
    advance(2s);
    const requests::TargetStart start = send(to("/search/2"));
    advance(1700ms);
    fail(start, true);
    EXPECT_TRUE(takeStarts().empty());
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 502);
}

// Guards against a request that leaves a slow target for another one, whose response would come too late.
TEST_F(PlannedStopTest, StalledRequestStaysAtItsTargetIfThereIsNoTimeForAnother)
{
    serve(to("/search/1"), 1500ms);
    requestStop();
    advance(2s);
    const requests::TargetStart start = send(to("/search/2"));
    advance(2500ms);
    EXPECT_TRUE(takeStarts().empty());
    EXPECT_EQ(takeCancels(), 0U);
    answer(start, {});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
}

// Guards against downloads that are judged by the time to their first byte.
TEST_F(PlannedStopTest, DownloadNeedsTheTimeToItsLastByte)
{
    const requests::HttpHandle handle = request(to("/tape/1"));
    const requests::TargetStart start = onlyStart();
    sendFirstByte(start);
    sendHead(start, "try-1");
    sendBody(start, 100'000);
    (void)takeResponse();
    advance(2s);
    endResponse(start);
    deliverResponse(handle);
    requestStop();
    advance(3500ms);
    request(to("/tape/2"));
    expectRefusal();
}

// Guards against a gateway that reaches no target and forwards what its peers can't answer before its own end.
TEST_F(PlannedStopTest, RequestIsForwardedOnlyIfThePeerCanAnswerInTime)
{
    isolate();
    const requests::HttpHandle handle = request(to("/order/1"));
    const requests::TargetStart start = onlyStart();
    ASSERT_TRUE(isToPeer(start));
    sendFirstByte(start);
    advance(2s);
    answer(start, {});
    (void)takeResponse();
    deliverResponse(handle);
    requestStop();
    advance(1s);
    request(to("/order/2"));
    const requests::TargetStart second = onlyStart();
    ASSERT_TRUE(isToPeer(second));
    sendFirstByte(second);
    advance(3s);
    answer(second, {.status = 503, .extraHeaders = {{.name = "Saltvane-Reason", .value = "not-ready"}}});
    expectRefusal(); // By the other peer it would come too late.
    request(to("/order/3"));
    expectRefusal();
}

// Guards against callers that get nothing although it is known what became of their request: it may have been run, or
// no byte of it was sent to a target.
TEST_F(PlannedStopTest, RequestsInFlightAtTheEndAreAnswered)
{
    const requests::HttpHandle atTarget = request(to("/order/1"));
    sendFirstByte(onlyStart());
    const requests::HttpHandle connecting = request(to("/order/2"));
    (void)onlyStart();
    CallerRequest withBody = to("/order/3");
    withBody.body = "2 contracts";
    const requests::HttpHandle receiving = sendRequestHead(withBody);
    requestStop();
    advance(StopEnd - 20ms);
    EXPECT_FALSE(takeResponse());
    (void)takeCancels();
    advance(20ms);
    EXPECT_EQ(takeCancels(), 2U);
    for (const auto& [handle, status, reason] : {std::tuple(atTarget, 502, "stop-time-limit"),
             std::tuple(connecting, 503, "stopping"), std::tuple(receiving, 503, "stopping")}) {
        const auto response = takeResponse();
        ASSERT_TRUE(response);
        EXPECT_EQ(response->handle, handle);
        EXPECT_EQ(response->status, status);
        EXPECT_EQ(header(response->headers, "Saltvane-Reason"), reason);
        deliverResponse(handle);
    }
    EXPECT_TRUE(takeStarts().empty());
    EXPECT_FALSE(takeStopFinished());
    advance(120ms);
    EXPECT_TRUE(takeStopFinished());
}

// Guards against a process that ends between the last response and its delivery.
TEST_F(PlannedStopTest, ResponseThatIsReadyAtTheEndIsDelivered)
{
    const requests::HttpHandle handle = request(to("/order/1"));
    const requests::TargetStart start = onlyStart();
    sendFirstByte(start);
    requestStop();
    advance(StopEnd - 20ms);
    answer(start, {});
    EXPECT_TRUE(takeResponse());
    advance(40ms);
    EXPECT_FALSE(takeStopFinished());
    deliverResponse(handle);
    advance(120ms);
    EXPECT_TRUE(takeStopFinished());
}

// Guards against downloads that are cut off within their last bytes.
TEST_F(PlannedStopTest, DownloadThatEndsShortlyAfterTheEndIsDelivered)
{
    const requests::HttpHandle handle = request(to("/tape/1"));
    const requests::TargetStart start = onlyStart();
    sendFirstByte(start);
    sendHead(start, "try-1");
    sendBody(start, 100'000);
    EXPECT_TRUE(takeResponse());
    requestStop();
    advance(StopEnd + 100ms);
    EXPECT_FALSE(takeStopFinished());
    endResponse(start);
    deliverResponse(handle);
    advance(120ms);
    EXPECT_TRUE(takeStopFinished());
}

// Guards against a caller that doesn't read its response and holds up the end.
TEST_F(PlannedStopTest, EndDoesNotWaitForCallersThatDoNotRead)
{
    request(to("/order/1"));
    const requests::TargetStart start = onlyStart();
    sendFirstByte(start);
    answer(start, {});
    requestStop();
    advance(6s);
    EXPECT_TRUE(takeStopFinished());
}

} // namespace saltvane::gateway::test
