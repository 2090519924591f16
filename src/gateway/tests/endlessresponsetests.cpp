/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

#include <functional>
#include <optional>

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
                sendHead(start, id);
                misbehave(start);
            }
        }
        return sentToBad;
    }
    size_t lastId_ = 0;
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

} // namespace saltvane::gateway::test
