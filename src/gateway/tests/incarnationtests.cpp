/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>

/// Targets that restart under the same id.
namespace saltvane::gateway::test {

namespace {

class IncarnationTest : public GatewayFixture {
protected:
    static model::TargetRecord recordOf(const std::string& id, uint64_t incarnation, uint64_t sequence = 1)
    {
        model::TargetRecord record = target(id);
        record.incarnation = {incarnation};
        record.sequence = sequence;
        return record;
    }
    static LogPosition positionOf(uint64_t index) { return {.term = {1}, .index = {index}}; }
};

} // namespace

TEST_F(IncarnationTest, LaterIncarnationIsUsedAtOnceWithoutEjection)
{
    installPlan(1);
    reportTargets({recordOf("t-1", 1000, 50)});
    request({});
    fail(takeStarts().at(0), false); // Ejects the target.
    (void)takeResponse();
    request({});
    ASSERT_TRUE(takeStarts().empty());
    (void)takeResponse();
    const model::TargetRecord later = recordOf("t-1", 2000);
    reportTargets({later});
    request({});
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].address, later.address);
}

TEST_F(IncarnationTest, DelayedReportOfPreviousIncarnationIsIgnored)
{
    installPlan(1);
    const model::TargetRecord before = recordOf("t-1", 1000, 90);
    const model::TargetRecord now = recordOf("t-1", 2000);
    reportTargets({now});
    reportTargets({before});
    model::TargetRecord unresponsive = before;
    unresponsive.age = model::TargetHeartbeatTimeout;
    reportTargets({unresponsive});
    report({.orders = {.term = {1}, .index = {5}}, .retired = {{.target = TargetId("t-1"), .incarnation = {1000}}}});
    request({});
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].address, now.address);
}

TEST_F(IncarnationTest, RetiredIncarnationStaysRetiredButSuccessorIsUsed)
{
    installPlan(1);
    reportTargets({recordOf("t-1", 1000)});
    report({.orders = {.term = {1}, .index = {5}}, .retired = {{.target = TargetId("t-1"), .incarnation = {1000}}}});
    reportTargets({recordOf("t-1", 1000, 9)});
    request({});
    EXPECT_TRUE(takeStarts().empty());
    (void)takeResponse();
    reportTargets({recordOf("t-1", 2000)});
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against gateways that use a target which left, because they know another incarnation than the order meant.
TEST_F(IncarnationTest, LeaveWithoutIncarnationStopsAllUntilItIsResolved)
{
    installPlan(1);
    const model::TargetRecord before = recordOf("t-1", 1000);
    reportTargets({before});
    report({.orders = positionOf(5), .retired = {{.target = TargetId("t-1")}}});
    reportTargets({recordOf("t-1", 2000)});
    request({});
    EXPECT_TRUE(takeStarts().empty());
    (void)takeResponse();
    // The registry names the incarnation that left: the later one is used.
    report({.orders = positionOf(6),
        .ordersSince = positionOf(5),
        .retired = {{.target = TargetId("t-1"), .incarnation = {1000}}}});
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against gateways that use a target which left, because the registry resolved the leave to an earlier start:
// the only registry host that knew the later one was down.
TEST_F(IncarnationTest, LeaveResolvedToAnEarlierIncarnationDoesNotBringTheKnownOneBack)
{
    installPlan(1);
    reportTargets({recordOf("t-1", 2000)});
    report({.orders = positionOf(5), .retired = {{.target = TargetId("t-1")}}});
    report({.orders = positionOf(6),
        .ordersSince = positionOf(5),
        .retired = {{.target = TargetId("t-1"), .incarnation = {1000}}}});
    reportTargets({recordOf("t-1", 2000, 9)});
    request({});
    EXPECT_TRUE(takeStarts().empty());
    (void)takeResponse();
    reportTargets({recordOf("t-1", 3000)});
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against gateways that start after a leave and use the target, since the order came before its record.
TEST_F(IncarnationTest, LeaveWithoutIncarnationStopsTargetsThatAreReportedLater)
{
    installPlan(1);
    report({.orders = positionOf(5), .retired = {{.target = TargetId("t-1")}}, .targets = {recordOf("t-1", 1000)}});
    request({});
    EXPECT_TRUE(takeStarts().empty());
    (void)takeResponse();
    report({.orders = positionOf(6),
        .ordersSince = positionOf(5),
        .retired = {{.target = TargetId("t-1"), .incarnation = {1000}}}});
    request({});
    EXPECT_TRUE(takeStarts().empty());
}

// Guards against targets that stay unused because a registry host reports an order late that was resolved since.
TEST_F(IncarnationTest, LateReportOfAResolvedLeaveStopsNone)
{
    installPlan(1);
    const std::vector<model::TargetIncarnation> both {
        {.target = TargetId("t-1")}, {.target = TargetId("t-1"), .incarnation = {1000}}};
    report({.orders = positionOf(6), .retired = both, .targets = {recordOf("t-1", 2000)}});
    report({.orders = positionOf(5), .ordersSince = positionOf(4), .retired = {{.target = TargetId("t-1")}}});
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
    report({.orders = positionOf(6), .ordersSince = positionOf(4), .retired = both});
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against a target that said itself that it leaves, and is used again once an order about it is resolved.
TEST_F(IncarnationTest, ResolvedLeaveDoesNotBringATargetBackThatReportsThatItLeaves)
{
    installPlan(1);
    report({.orders = positionOf(5), .retired = {{.target = TargetId("t-1")}}, .targets = {recordOf("t-1", 2000)}});
    model::TargetRecord leaving = recordOf("t-1", 2000, 2);
    leaving.isLeaving = true;
    reportTargets({leaving});
    report({.orders = positionOf(6),
        .ordersSince = positionOf(5),
        .retired = {{.target = TargetId("t-1"), .incarnation = {1000}}}});
    request({});
    EXPECT_TRUE(takeStarts().empty());
}

// Guards against requests waiting for a target that has restarted. When a target's host loses power and is back a
// second later, its old connections report nothing; requests waited until their route's timeout, 6 to 8 s, instead of
// half a second after the new incarnation is reported.
TEST_F(IncarnationTest, RequestsAtStoppedIncarnationAreRetriedOrFailed)
{
    installPlan(1);
    reportTargets({recordOf("t-1", 1000)});
    request({.id = "read"});
    request({.method = "POST", .path = "/write/1", .id = "write", .deadlineMs = "20000"});
    ASSERT_EQ(takeStarts().size(), 2U);
    reportTargets({recordOf("t-1", 2000), recordOf("t-2", 1000)});
    advance(300ms);
    EXPECT_TRUE(takeStarts().empty()); // Responses that were sent before may still arrive.
    advance(300ms);
    const auto later = takeStarts();
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(header(later[0].headers, "Saltvane-Request-Id"), "read");
    EXPECT_EQ(later[0].target, TargetId("t-2"));
    const auto ended = takeResponse();
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->status, 502); // It may have been run.
}

TEST_F(IncarnationTest, ResponseOfPreviousIncarnationIsDelivered)
{
    installPlan(1);
    reportTargets({recordOf("t-1", 1000)});
    request({});
    const auto starts = takeStarts();
    reportTargets({recordOf("t-1", 2000)});
    advance(200ms);
    answer(starts.at(0), {});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
}

TEST_F(IncarnationTest, ConnectionsOfPreviousIncarnationAreNotReused)
{
    installPlan(1);
    const model::TargetRecord before = recordOf("t-1", 1000);
    reportTargets({before});
    request({});
    EXPECT_FALSE(takeStarts().at(0).needsNewConnection);
    model::TargetRecord now = recordOf("t-1", 2000);
    now.address = before.address;
    reportTargets({now});
    request({});
    EXPECT_TRUE(takeStarts().at(0).needsNewConnection);
    advance(3s);
    request({});
    const auto later = takeStarts();
    EXPECT_FALSE(later.at(0).needsNewConnection);
    EXPECT_LE(later.at(0).maxReuseIdleTime, 2s); // Only a connection that was used since.
}

// Reports of incarnations from several registry hosts arrive in any order, some of them twice: no request goes to an
// incarnation earlier than the latest one reported, nor to a retired one.
TEST_F(IncarnationTest, NoRequestGoesToEarlierIncarnationInAnyReportOrder)
{
    installPlan(1);
    constexpr uint64_t Seeds = 1000;
    uint64_t index = 0;
    size_t sent = 0;
    for (uint64_t seed = 0; seed < Seeds; ++seed) {
        boost::random::mt19937_64 random(seed);
        std::map<TargetId, std::map<uint64_t, model::TargetRecord>> starts;
        std::map<TargetId, uint64_t> latest;
        std::map<TargetId, uint64_t> retired;
        for (int step = 0; step < 30; ++step) {
            const std::string id = "t-" + std::to_string(seed) + "-" + std::to_string(random() % 2);
            const TargetId target(id);
            const bool isRetirement = random() % 16 == 0;
            const uint64_t incarnation = 1 + random() % (isRetirement ? 2 : 4);
            if (isRetirement) {
                retired[target] = std::max(retired[target], incarnation);
                report({.orders = {.term = {1}, .index = {++index}},
                    .retired = {{.target = target, .incarnation = {incarnation}}}});
            } else {
                auto [known, isNew] = starts[target].try_emplace(incarnation, recordOf(id, incarnation));
                known->second.sequence = 1 + random() % 9;
                latest[target] = std::max(latest[target], incarnation);
                reportTargets({known->second});
            }
            request({.object = std::to_string(random() % 50), .deadlineMs = "20000"});
            (void)takeResponse();
            for (const requests::TargetStart& start : takeStarts()) {
                ++sent;
                answer(start, {});
                (void)takeResponse();
                const model::TargetRecord& expected = starts.at(start.target).at(latest.at(start.target));
                ASSERT_EQ(start.address, expected.address) << "seed " << seed;
                ASSERT_GT(latest.at(start.target), retired[start.target]) << "seed " << seed;
            }
        }
        for (const auto& [target, byIncarnation] : starts)
            report({.orders = {.term = {1}, .index = {++index}}, .retired = {{.target = target, .incarnation = {99}}}});
    }
    EXPECT_GT(sent, 5000U);
}

} // namespace saltvane::gateway::test
