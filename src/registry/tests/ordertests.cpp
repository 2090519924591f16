/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registrycluster.h"

#include <gtest/gtest.h>

#include <set>

namespace saltvane::registry::test {

namespace {

int statusOf(const std::optional<RegistryCluster::Answer>& answer) { return answer ? answer->status : 0; }

} // namespace

TEST(OrderTest, PlanIsReplacedOnlyOnItsBaseVersion)
{
    RegistryCluster cluster(6);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(3), "0")), 200);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(5), "2")), 412);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(5), "3")), 200);
    EXPECT_EQ(cluster.order("GET", "/v1/plan")->body, planText(5));
}

TEST(OrderTest, OneOfTwoPlansWithTheSameBaseWins)
{
    RegistryCluster cluster(6);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    const std::string other = planText(2) + " ";
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(2), "1")), 200);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", other, "1")), 412);
    EXPECT_EQ(cluster.order("GET", "/v1/plan")->body, planText(2));
}

TEST(OrderTest, ResentPlanGetsTheSameAnswerEvenAfterALaterPlan)
{
    RegistryCluster cluster(6);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(2), "1")), 200);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    EXPECT_EQ(cluster.order("GET", "/v1/plan")->body, planText(2));
}

TEST(OrderTest, InvalidPlanIsRefusedWithLocations)
{
    RegistryCluster cluster(3);
    const auto unknown = cluster.order("PUT", "/v1/plan", planText(1, "nobody"), "0");
    EXPECT_EQ(statusOf(unknown), 400);
    EXPECT_NE(unknown->body.find("routes[0].service"), std::string::npos);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1).substr(0, 40), "0")), 400);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(4), "0")), 200);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(4, "quotes") + " ", "4")), 400);
}

// Guards against reports and orders that count though their caller closed its connection within them: also if what
// arrived reads like a whole one.
TEST(OrderTest, CutCallsDoNotCount)
{
    const std::string gateway = "10.0.1.1:7000";
    const std::string rollout = R"({"service":"quotes","to_version":"2","duration_s":60})";
    RegistryCluster cluster(3);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    const size_t leader = *cluster.leader();
    cluster.gatewayHeartbeat(leader, gateway, "north-a", "north");
    const auto cut = [&](const std::string& method, const std::string& path, const std::string& text) {
        for (const size_t bytes : {size_t {0}, text.size() / 2, text.size()})
            cluster.cutCall(leader, method, path, text.substr(0, bytes), text.size() + 1, "1");
    };
    cut("POST", "/v1/targets/t-1/heartbeat", heartbeatText(1));
    cut("POST", "/v1/targets/t-0/leave", "{}");
    cut("PUT", "/v1/evacuations/north-a", "{}");
    cut("POST", "/v1/rollouts", rollout);
    cut("PUT", "/v1/plan", planText(2));
    ASSERT_EQ(statusOf(cluster.call(leader, "POST", "/v1/targets/t-0/heartbeat", heartbeatText(1))), 200);
    cluster.run(1s);
    std::set<TargetId> targets;
    for (const model::Message& message : cluster.drainSentTo(gateway)) {
        const auto* report = std::get_if<model::TargetReport>(&message);
        if (report == nullptr)
            continue;
        EXPECT_TRUE(report->retired.empty() && report->evacuatedZones.empty() && report->rollouts.empty());
        for (const model::TargetRecord& record : report->targets)
            targets.insert(record.target);
    }
    EXPECT_EQ(targets, std::set<TargetId> {TargetId("t-0")});
    EXPECT_EQ(cluster.order("GET", "/v1/plan")->body, planText(1));
    // Whole ones count.
    EXPECT_EQ(statusOf(cluster.order("POST", "/v1/targets/t-0/leave", "{}")), 200);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/evacuations/north-a", "{}")), 200);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(2), "1")), 200);
}

TEST(OrderTest, FollowerRedirectsToTheLeader)
{
    RegistryCluster cluster(6);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    cluster.run(1s);
    const size_t leader = *cluster.leader();
    const auto answer = cluster.call((leader + 1) % 6, "PUT", "/v1/evacuations/north-a");
    ASSERT_EQ(statusOf(answer), 307);
    bool namesLeader = false;
    for (const model::Header& header : answer->headers)
        namesLeader = namesLeader
            || header.value == "http://10.0.0." + std::to_string(leader + 1) + ":8000/v1/evacuations/north-a";
    EXPECT_TRUE(namesLeader);
}

TEST(OrderTest, CutOffHostServesNoPlanAndAcceptsNoOrder)
{
    RegistryCluster cluster(6);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    cluster.run(1s);
    const size_t leader = *cluster.leader();
    cluster.isolate(leader);
    cluster.run(2s);
    EXPECT_EQ(statusOf(cluster.call(leader, "GET", "/v1/plan")), 503);
    EXPECT_EQ(statusOf(cluster.call(leader, "PUT", "/v1/plan", planText(2), "1")), 503);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(3), "1")), 200);
    cluster.heal();
    cluster.run(2s);
    EXPECT_EQ(statusOf(cluster.call(leader, "GET", "/v1/plan")), 200);
    EXPECT_EQ(cluster.call(leader, "GET", "/v1/plan")->body, planText(3));
}

TEST(OrderTest, LeavingTargetIsAcknowledgedOnceRetiredAndReportedToGateways)
{
    RegistryCluster cluster(6);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    for (size_t number = 0; number < 6; ++number)
        cluster.gatewayHeartbeat(number, "10.0.1.1:7000", "north-a", "north");
    const std::string heartbeatPath = "/v1/targets/t-1/heartbeat";
    EXPECT_EQ(statusOf(cluster.order("POST", heartbeatPath, heartbeatOfStart(1000, 1))), 200);
    EXPECT_EQ(statusOf(cluster.order("POST", heartbeatPath, heartbeatOfStart(1000, 2, "leaving"))), 200);
    cluster.run(300ms);
    size_t reports = 0;
    for (const model::Message& message : cluster.drainSentTo("10.0.1.1:7000")) {
        const auto* report = std::get_if<model::TargetReport>(&message);
        if (report != nullptr && !report->retired.empty())
            ++reports;
    }
    EXPECT_EQ(reports, 6U); // From every host, so that the loss of one has no effect.
    // Now any host acknowledges it, without the log.
    const size_t follower = (*cluster.leader() + 1) % 6;
    const std::string leavePath = "/v1/targets/t-1/leave";
    EXPECT_EQ(statusOf(cluster.call(follower, "POST", leavePath, R"({"started_ms":1000})")), 200);
    // A call that states no start may be of a later one: the leader orders it, and then any host acknowledges it.
    EXPECT_EQ(statusOf(cluster.call(follower, "POST", leavePath)), 307);
    EXPECT_EQ(statusOf(cluster.order("POST", leavePath)), 200);
    cluster.run(300ms);
    EXPECT_EQ(statusOf(cluster.call(follower, "POST", leavePath)), 200);
}

TEST(OrderTest, EvacuationsAreAcceptedAsOrders)
{
    RegistryCluster cluster(6);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/evacuations/north-a")), 200);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/evacuations/north-a")), 200);
    EXPECT_EQ(statusOf(cluster.order("DELETE", "/v1/evacuations/north-a")), 200);
    EXPECT_EQ(statusOf(cluster.order("POST", "/v1/evacuations/north-a")), 404);
}

/// Guards against a registry host that exceeds its memory limit and is killed when many plans are sent to it at once.
TEST(OrderTest, MemoryOfConcurrentCallBodiesIsBounded)
{
    RegistryCluster cluster(3);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader().has_value(); }));
    const size_t leader = *cluster.leader();
    size_t refused = 0;
    constexpr size_t Calls = 40;
    const std::string part(1024 * 1024, ' ');
    for (size_t number = 0; number < Calls; ++number)
        refused += cluster.beginCall(leader, "PUT", "/v1/plan", part, 3 * part.size()) ? 0 : 1;
    EXPECT_LE(cluster.status(leader).callBytes, 20U * 1024 * 1024);
    EXPECT_GE(refused, Calls / 2);
    EXPECT_EQ(statusOf(cluster.order("POST", "/v1/targets/t-1/heartbeat", heartbeatText(1))), 200);
}

} // namespace saltvane::registry::test
