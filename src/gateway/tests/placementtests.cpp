/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

#include <map>

namespace saltvane::gateway::test {

namespace {

class PlacementTest : public GatewayFixture {
protected:
    /// Reports `targetsPerRegion` targets in both regions; the gateway is in region north.
    void reportBothRegions(size_t targetsPerRegion)
    {
        std::vector<model::TargetRecord> records;
        for (size_t i = 0; i < targetsPerRegion; ++i) {
            records.push_back(target("n-" + std::to_string(i), "quotes", "north-a"));
            records.push_back(target("s-" + std::to_string(i), "quotes", "south-a"));
        }
        reportTargets(std::move(records));
        advance(300ms);
    }

    /// Sends one request per object, one after the other; returns the target of each.
    std::map<int, std::string> targetsOf(int objects)
    {
        std::map<int, std::string> chosen;
        for (int i = 0; i < objects; ++i) {
            request({.object = std::to_string(i)});
            for (const requests::TargetStart& start : takeStarts()) {
                chosen[i] = start.target.value();
                answer(start, {});
            }
            (void)takeResponse();
        }
        return chosen;
    }

    static int countIn(const std::map<int, std::string>& chosen, char region)
    {
        int count = 0;
        for (const auto& [object, target] : chosen)
            count += target.front() == region ? 1 : 0;
        return count;
    }
};

/// Few callers whose requests take 8 s on a route that others use for requests of 10 ms. "order": may run once;
/// "search": may be repeated.
class SlowCallersTest : public PlacementTest {
protected:
    SlowCallersTest()
    {
        const auto route = [](const std::string& name, const std::string& kind) {
            return R"(,{"name":")" + name + R"(","host":"prices.example","path_prefix":"/)" + name + R"(/","kind":")"
                + kind
                + R"(","timeout_ms":10000,"objective_ms":500,"rank":0,"service":"quotes","attempts":2,"affinity":true})";
        };
        installPlan(1, route("order", "at_most_once") + route("search", "repeatable"));
        reportTargets({manySlots("t-1"), manySlots("t-2")});
        advance(300ms);
    }

    static model::TargetRecord manySlots(const std::string& id)
    {
        model::TargetRecord record = target(id);
        record.slots = 100;
        return record;
    }

    /// Requests at the same time whose responses take 8 s each.
    void sendSlowRequests(const std::string& path, int count)
    {
        for (int i = 0; i < count; ++i)
            request({.path = path, .object = std::to_string(i), .deadlineMs = "10000"});
        const std::vector<requests::TargetStart> starts = takeStarts();
        ASSERT_EQ(starts.size(), static_cast<size_t>(count));
        advance(8s);
        for (const requests::TargetStart& start : starts)
            answer(start, {});
        while (takeResponse()) { }
    }

    /// Requests that are sent to a target, of `count` in intervals of 100 ms that take 10 ms each.
    size_t sendQuickRequests(const std::string& path, int count)
    {
        size_t sent = 0;
        for (int i = 0; i < count; ++i) {
            request({.path = path, .object = std::to_string(1000 + i), .deadlineMs = "2000"});
            for (const requests::TargetStart& start : takeStarts()) {
                ++sent;
                advance(10ms);
                answer(start, {});
            }
            while (takeResponse()) { }
            advance(100ms);
        }
        return sent;
    }
};

} // namespace

TEST_F(PlacementTest, SmallRequestsStayInRegionWithEnoughSlots)
{
    installPlan(1);
    reportBothRegions(8);
    const std::map<int, std::string> chosen = targetsOf(400);
    ASSERT_EQ(chosen.size(), 400U);
    EXPECT_GE(countIn(chosen, 'n'), 320);
    EXPECT_GE(countIn(chosen, 's'), 10);
}

TEST_F(PlacementTest, RegionWithFewSlotsKeepsOnlyItsShare)
{
    installPlan(1);
    std::vector<model::TargetRecord> records {target("n-0", "quotes", "north-a")};
    for (int i = 0; i < 9; ++i)
        records.push_back(target("s-" + std::to_string(i), "quotes", "south-a"));
    reportTargets(std::move(records));
    advance(300ms);
    // The region has one of ten targets and half of the deployment's demand: a fifth of its requests loads this target
    // like the others.
    const int kept = countIn(targetsOf(400), 'n');
    EXPECT_GE(kept, 40);
    EXPECT_LE(kept, 130);
}

// Guards against targets being considered slow because responses waited for slots in an overload: they got fewer
// requests than they can take afterwards.
TEST_F(PlacementTest, QueueingDelayDoesNotCountAsSlowTarget)
{
    installPlan(1);
    reportTargets({target("t-1")});
    const auto burst = [this] {
        for (int i = 0; i < 20; ++i)
            request({});
        return takeStarts();
    };
    const auto finish = [this](const std::vector<requests::TargetStart>& starts) {
        advance(100ms);
        for (size_t i = 0; i < starts.size(); ++i) {
            if (i == 3)
                advance(1200ms);
            answer(starts[i], {.extraHeaders = {{.name = "Saltvane-Load", .value = "0,0,3"}}});
        }
        advance(2s);
    };
    const std::vector<requests::TargetStart> first = burst();
    finish(first);
    for (int round = 0; round < 8; ++round)
        finish(burst());
    EXPECT_GE(burst().size(), first.size());
}

// Guards against routes that get no requests after a period of responses that took nearly all of the callers' time:
// with 78 idle targets, one of 57 requests for a new route was sent, because the service's expected time exceeded their
// deadline and no request was sent that could have corrected it.
TEST_F(PlacementTest, TrialRequestsCorrectOutdatedProcessingTimes)
{
    installPlan(1);
    reportBothRegions(4);
    int object = 0;
    for (int i = 0; i < 100; ++i) {
        request({.object = std::to_string(++object)});
        for (const requests::TargetStart& start : takeStarts()) {
            advance(1450ms);
            answer(start, {});
        }
        advance(100ms);
    }
    size_t sent = 0;
    for (int i = 0; i < 40; ++i) {
        request({.object = std::to_string(++object)});
        for (const requests::TargetStart& start : takeStarts()) {
            ++sent;
            advance(200ms);
            answer(start, {});
        }
        advance(100ms);
    }
    EXPECT_GE(sent, 20U);
}

// Guards against a route whose requests are all refused for good, with all slots free: the responses to six slow
// requests raised its expected time above what is accepted, times are learnt from responses only, and a request that
// may run once is never sent as a trial.
TEST_F(SlowCallersTest, RouteOfRequestsThatRunOnceIsUsedAgain)
{
    sendSlowRequests("/order/1", 6);
    EXPECT_GE(sendQuickRequests("/order/1", 600), 1U);
}

// Guards against the same for a route that had no requests yet, which takes the times of its service.
TEST_F(SlowCallersTest, RouteWithoutRequestsSoFarIsUsed)
{
    sendSlowRequests("/order/1", 6);
    EXPECT_GE(sendQuickRequests("/write/1", 600), 1U);
}

// Guards against a route that stays closed for most callers after a trial has shown that its targets are quick.
TEST_F(SlowCallersTest, OneQuickResponseOpensTheRoute)
{
    sendSlowRequests("/order/1", 6);
    EXPECT_GE(sendQuickRequests("/order/1", 600), 570U);
}

// Guards against callers that don't learn whether their requests ran, again and again, on a route whose responses do
// come late.
TEST_F(SlowCallersTest, LateRouteOfRequestsThatRunOnceIsTriedSeldom)
{
    sendSlowRequests("/order/1", 6);
    size_t sent = 0;
    for (int i = 0; i < 600; ++i) {
        request({.path = "/order/1", .object = std::to_string(1000 + i), .deadlineMs = "2000"});
        sent += takeStarts().size();
        while (takeResponse()) { }
        advance(100ms);
    }
    EXPECT_GE(sent, 2U);
    EXPECT_LE(sent, 5U);
}

// Guards against callers that close a route for others by leaving: a request without a response says nothing about the
// route's times.
TEST_F(SlowCallersTest, RequestsThatCallersLeaveDoNotCloseTheRoute)
{
    std::vector<requests::HttpHandle> callers;
    for (int i = 0; i < 6; ++i)
        callers.push_back(request({.path = "/order/1", .object = std::to_string(i), .deadlineMs = "10000"}));
    ASSERT_EQ(takeStarts().size(), 6U);
    advance(4s);
    for (const requests::HttpHandle caller : callers)
        abort(caller);
    EXPECT_EQ(sendQuickRequests("/order/1", 600), 600U);
}

TEST_F(SlowCallersTest, RouteOfRepeatableRequestsIsUsedAgain)
{
    sendSlowRequests("/search/1", 6);
    EXPECT_GE(sendQuickRequests("/search/1", 600), 1U);
}

TEST_F(PlacementTest, LossOfTargetMovesOnlyItsObjects)
{
    installPlan(1);
    reportBothRegions(8);
    const std::map<int, std::string> before = targetsOf(200);
    report({.orders = {.term = {1}, .index = {5}}, .retired = {{.target = TargetId("n-3")}}});
    const std::map<int, std::string> after = targetsOf(200);
    int moved = 0;
    for (const auto& [object, target] : before)
        moved += target != "n-3" && after.at(object) != target ? 1 : 0;
    EXPECT_LE(moved, 4);
}

} // namespace saltvane::gateway::test
