/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

#include <functional>
#include <optional>
#include <utility>
#include <vector>

/// Targets whose responses begin well and don't end.
namespace saltvane::gateway::test {

namespace {

class EndlessResponseTest : public GatewayFixture {
protected:
    EndlessResponseTest()
    {
        installPlan(1);
        reportTargets({target("bad"), target("good")});
    }
    /// Sends requests for different objects. The good target answers them, the bad one sends a head and then calls
    /// `misbehave`. Returns the number of requests that were sent to the bad one.
    size_t sendRequests(size_t count, const std::function<void(const requests::TargetStart&)>& misbehave)
    {
        size_t sentToBad = 0;
        for (size_t i = 0; i < count; ++i) {
            const std::string id = "try-" + std::to_string(++lastId_);
            request({.id = id, .object = id});
            for (const requests::TargetStart& start : takeStarts()) {
                if (start.target == TargetId("good")) {
                    answer(start, {.id = id});
                    continue;
                }
                ++sentToBad;
                sendHead(start, id, bodyLength_);
                misbehave(start);
            }
        }
        return sentToBad;
    }
    /// Sends requests until the bad target has one: with more, its load would keep further ones from it.
    void sendOneToBad(const std::function<void(const requests::TargetStart&)>& misbehave)
    {
        while (sendRequests(1, misbehave) == 0) { }
    }
    /// The callers read what was sent to them so far.
    void readResponses(size_t bytes)
    {
        for (uint64_t handle = 1; handle <= lastId_; ++handle)
            readResponse({handle}, bytes);
    }
    /// The good target sends this many bytes within the time, to one caller.
    void streamFromGood(size_t bytes, Duration duration)
    {
        for (bool isStreamed = false; !isStreamed;) {
            const std::string id = "try-" + std::to_string(++lastId_);
            const requests::HttpHandle handle = request({.id = id, .object = id});
            const requests::TargetStart start = takeStarts().at(0);
            sendHead(start, id);
            isStreamed = start.target == TargetId("good");
            if (isStreamed) {
                sendBody(start, bytes);
                readResponse(handle, bytes);
                advance(duration);
            }
            endResponse(start);
        }
    }
    size_t lastId_ = 0;
    std::optional<uint64_t> bodyLength_; ///< Of the bad target's responses.
};

constexpr Duration RouteTimeout = 1500ms;
constexpr size_t LargeBodyBytes = 64 * 1024;

} // namespace

// Guards against callers without an answer while another target could serve them: a buffered response stalls.
TEST_F(EndlessResponseTest, RequestWhoseBodyStallsIsSentElsewhere)
{
    std::optional<requests::TargetStart> stalled;
    while (!stalled)
        (void)sendRequests(1, [&](const requests::TargetStart& start) { stalled = start; });
    while (takeResponse()) { }
    advance(1s);
    const std::vector<requests::TargetStart> retried = takeStarts();
    ASSERT_EQ(retried.size(), 1U);
    EXPECT_EQ(retried[0].target, TargetId("good"));
    answer(retried[0], {.id = "try-" + std::to_string(lastId_)});
    EXPECT_EQ(takeResponse()->status, 200);
}

// Guards against a target that goes on getting its share of requests although no response of it ever ends.
TEST_F(EndlessResponseTest, TargetWhoseBodiesDoNotEndIsEjected)
{
    const auto streamWithoutEnd = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes); };
    const size_t before = sendRequests(20, streamWithoutEnd);
    ASSERT_GE(before, 2U);
    for (uint64_t handle = 1; handle <= lastId_; ++handle)
        readResponse({handle}, LargeBodyBytes);
    advance(RouteTimeout);
    EXPECT_EQ(sendRequests(20, streamWithoutEnd), 0U);
}

// Guards against endless responses that eject no target because their callers leave just before the gateway's own
// deadline.
TEST_F(EndlessResponseTest, TargetWhoseBodiesDoNotEndBeforeCallersLeaveIsEjected)
{
    const auto streamWithoutEnd = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes); };
    ASSERT_GE(sendRequests(20, streamWithoutEnd), 2U);
    advance(RouteTimeout - 100ms);
    for (uint64_t handle = 1; handle <= lastId_; ++handle) {
        readResponse({handle}, LargeBodyBytes);
        abort({handle});
    }
    EXPECT_EQ(sendRequests(20, streamWithoutEnd), 0U);
}

// Callers that leave early say nothing about a large response.
TEST_F(EndlessResponseTest, CallersThatLeaveEarlyDoNotEjectTheTarget)
{
    const auto stream = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes); };
    ASSERT_GE(sendRequests(20, stream), 2U);
    advance(RouteTimeout / 2);
    for (uint64_t handle = 1; handle <= lastId_; ++handle) {
        readResponse({handle}, LargeBodyBytes);
        abort({handle});
    }
    EXPECT_GE(sendRequests(20, stream), 2U);
}

// The same for a target whose responses break off.
TEST_F(EndlessResponseTest, TargetWhoseBodiesBreakOffIsEjected)
{
    const auto breakOff = [&](const requests::TargetStart& start) {
        sendBody(start, LargeBodyBytes);
        fail(start, true);
    };
    EXPECT_LE(sendRequests(40, breakOff), 2U);
}

// Callers that don't read their responses must not make targets look broken.
TEST_F(EndlessResponseTest, SlowCallersDoNotEjectTheTarget)
{
    const auto stream = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes); };
    ASSERT_GE(sendRequests(20, stream), 2U);
    advance(RouteTimeout);
    EXPECT_GE(sendRequests(20, stream), 2U);
}

// Guards against callers without an answer until the first deadlines: nothing is known against a target while its
// responses are passed on, so that it goes on getting its share of requests.
TEST_F(EndlessResponseTest, TargetWithOverlongResponsesGetsNoMoreRequestsBeforeItsDeadlines)
{
    const auto streamWithoutEnd = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes); };
    sendOneToBad(streamWithoutEnd);
    readResponses(LargeBodyBytes);
    advance(700ms);
    EXPECT_EQ(sendRequests(20, streamWithoutEnd), 0U);
}

// The same where callers are always behind what the target sends, as at full speed.
TEST_F(EndlessResponseTest, TargetWhoseBodiesOutgrowTheUsualOnesGetsNoMoreRequestsBeforeItsDeadlines)
{
    const auto streamWithoutEnd = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes * 2); };
    sendOneToBad(streamWithoutEnd);
    readResponses(LargeBodyBytes);
    advance(700ms);
    EXPECT_EQ(sendRequests(20, streamWithoutEnd), 0U);
}

// The same for a body of known length that trickles: its length excuses only the time in which the caller reads.
TEST_F(EndlessResponseTest, TargetWhoseBodiesOfKnownLengthTrickleGetsNoMoreRequestsBeforeItsDeadlines)
{
    bodyLength_ = LargeBodyBytes * 2;
    const auto trickle = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes); };
    sendOneToBad(trickle);
    readResponses(LargeBodyBytes);
    advance(700ms);
    EXPECT_EQ(sendRequests(20, trickle), 0U);
}

// Callers that read a large response of known length slowly say nothing about its target.
TEST_F(EndlessResponseTest, SlowCallersOfKnownLengthDoNotDivertRequests)
{
    bodyLength_ = LargeBodyBytes * 2;
    const auto stream = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes); };
    sendOneToBad(stream);
    readResponses(LargeBodyBytes / 2);
    advance(700ms);
    EXPECT_GE(sendRequests(20, stream), 2U);
}

// Guards against a target that gets its share of requests again each time that the callers of its endless responses
// have left: after its backoff it gets one.
TEST_F(EndlessResponseTest, TargetWhoseOverlongResponsesWereGivenUpGetsOneRequestAtATime)
{
    const auto streamWithoutEnd = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes); };
    ASSERT_GE(sendRequests(20, streamWithoutEnd), 2U);
    readResponses(LargeBodyBytes);
    advance(700ms);
    for (uint64_t handle = 1; handle <= lastId_; ++handle)
        abort({handle});
    EXPECT_EQ(sendRequests(20, streamWithoutEnd), 0U);
    advance(4100ms);
    EXPECT_EQ(sendRequests(40, streamWithoutEnd), 1U);
}

// Responses that take as long as others of the route before keep requests from no target.
TEST_F(EndlessResponseTest, ResponsesOfUsualLengthDoNotDivertRequests)
{
    streamFromGood(LargeBodyBytes, 600ms);
    const auto stream = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes); };
    sendOneToBad(stream);
    readResponses(LargeBodyBytes);
    advance(700ms);
    EXPECT_GE(sendRequests(20, stream), 2U);
}

// A long response need not be a fault: requests that no other target can take are not refused because of it.
TEST_F(EndlessResponseTest, OnlyTargetWithOverlongResponsesIsUsed)
{
    const auto stream = [&](const requests::TargetStart& start) { sendBody(start, LargeBodyBytes); };
    sendOneToBad(stream);
    readResponses(LargeBodyBytes);
    advance(700ms);
    model::TargetRecord leaving = target("good");
    leaving.isLeaving = true;
    reportTargets({target("bad"), leaving});
    EXPECT_EQ(sendRequests(2, stream), 2U);
}

// A target whose long response ends gets its requests again at once.
TEST_F(EndlessResponseTest, TargetWhoseOverlongResponsesEndGetsRequestsAgain)
{
    std::vector<requests::TargetStart> open;
    const auto stream = [&](const requests::TargetStart& start) {
        sendBody(start, LargeBodyBytes);
        open.push_back(start);
    };
    ASSERT_GE(sendRequests(20, stream), 2U);
    readResponses(LargeBodyBytes);
    advance(700ms);
    for (const requests::TargetStart& start : open)
        endResponse(start);
    EXPECT_GE(sendRequests(20, stream), 2U);
}

// Guards against a count of overlong responses below zero, with which others would be preferred to the target for good:
// it is removed while one is open, and listed again.
TEST_F(EndlessResponseTest, TargetThatIsListedAgainGetsRequestsAfterItsBackoff)
{
    installPlan(2,
        R"(,{"name":"export","host":"prices.example","path_prefix":"/export/","kind":"repeatable","timeout_ms":60000,
         "objective_ms":400,"rank":1,"service":"quotes","attempts":2,"affinity":true})");
    const model::TargetRecord good = target("good");
    const model::TargetRecord bad = target("bad");
    reportTargets({bad});
    const requests::HttpHandle handle = request({.path = "/export/1", .deadlineMs = "60000"});
    const requests::TargetStart start = takeStarts().at(0);
    sendHead(start, "try-1");
    sendBody(start, LargeBodyBytes);
    readResponse(handle, LargeBodyBytes);
    advance(700ms);
    model::TargetRecord successor = target("other");
    const model::Address own = std::exchange(successor.address, bad.address);
    reportTargets({successor});
    for (int second = 0; second < 25; ++second) {
        advance(1s);
        reportTargets({good, successor});
    }
    successor.address = own;
    successor.isLeaving = true;
    successor.sequence += 1;
    reportTargets({good, successor, bad});
    abort(handle);
    advance(300ms); // The backoff after one such response.
    lastId_ = 1;
    EXPECT_EQ(sendRequests(20, [&](const requests::TargetStart& other) { sendBody(other, LargeBodyBytes); }), 1U);
}

} // namespace saltvane::gateway::test
