/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registrycluster.h"

#include <gtest/gtest.h>

namespace saltvane::registry::test {

namespace {

int statusOf(const std::optional<RegistryCluster::Answer>& answer) { return answer ? answer->status : 0; }

bool allVote(RegistryCluster& cluster, size_t voters)
{
    return cluster.runUntil([&] { return cluster.leader() && cluster.votersAt(*cluster.leader()) == voters; });
}

} // namespace

TEST(MembershipTest, AGroupFormsFromSeedsAndTakesInTheOthers)
{
    RegistryCluster cluster(6);
    EXPECT_TRUE(allVote(cluster, 6));
    EXPECT_LT(cluster.now(), Timestamp(107s)); // Traffic comes 8 s after the start.
}

TEST(MembershipTest, AfterAllWereKilledThePlanIsThereAgain)
{
    RegistryCluster cluster(6);
    ASSERT_TRUE(allVote(cluster, 6));
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/evacuations/north-a")), 200);
    for (size_t number = 0; number < 6; ++number)
        cluster.kill(number);
    for (size_t number = 0; number < 6; ++number)
        cluster.start(number, false);
    EXPECT_EQ(cluster.order("GET", "/v1/plan")->body, planText(1));
}

TEST(MembershipTest, AWipedDiskJoinsAgainAndFoundsNothing)
{
    RegistryCluster cluster(6);
    ASSERT_TRUE(allVote(cluster, 6));
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    const size_t lost = *cluster.leader();
    cluster.kill(lost);
    cluster.wipeDisk(lost);
    cluster.start(lost, false);
    EXPECT_TRUE(allVote(cluster, 6));
    EXPECT_TRUE(cluster.runUntil([&] { return statusOf(cluster.call(lost, "GET", "/v1/plan")) == 200; }));
}

TEST(MembershipTest, AHostAtANewAddressTakesThePlaceOfOneThatIsGone)
{
    RegistryCluster cluster(6);
    ASSERT_TRUE(allVote(cluster, 6));
    cluster.kill(0); // A seed.
    cluster.run(500ms);
    cluster.addHost();
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() && cluster.votersAt(*cluster.leader()) == 6; }));
    cluster.run(10s);
    EXPECT_EQ(cluster.votersAt(*cluster.leader()), 6U);
    EXPECT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
}

TEST(MembershipTest, AHostThatStaysAwayStopsCounting)
{
    RegistryCluster cluster(6);
    ASSERT_TRUE(allVote(cluster, 6));
    cluster.kill(5);
    cluster.run(30s);
    EXPECT_EQ(cluster.votersAt(*cluster.leader()), 5U);
}

TEST(MembershipTest, LookUpsNameTheNearestServingGateways)
{
    RegistryCluster cluster(3);
    const std::string path = "/v1/entry?name=h&region=north&zone=north-a";
    EXPECT_EQ(statusOf(cluster.call(0, "GET", path)), 503);
    cluster.gatewayHeartbeat(0, "10.0.1.3:7000", "south-a", "south");
    EXPECT_NE(cluster.call(0, "GET", path)->body.find("10.0.1.3:80"), std::string::npos);
    cluster.gatewayHeartbeat(0, "10.0.1.1:7000", "north-a", "north");
    const std::string near = cluster.call(0, "GET", path)->body;
    EXPECT_NE(near.find("10.0.1.1:80"), std::string::npos);
    EXPECT_EQ(near.find("10.0.1.3:80"), std::string::npos);
    cluster.gatewayHeartbeat(0, "10.0.1.1:7000", "north-a", "north", model::HostState::Leaving);
    EXPECT_EQ(cluster.call(0, "GET", path)->body.find("10.0.1.1:80"), std::string::npos);
    cluster.run(2s);
    cluster.gatewayHeartbeat(0, "10.0.1.4:7000", "south-a", "south");
    EXPECT_EQ(cluster.call(0, "GET", path)->body.find("10.0.1.3:80"), std::string::npos); // Silent too long.
}

TEST(MembershipTest, ASlowTargetHasOneGatewayOfItsZone)
{
    RegistryCluster cluster(3);
    cluster.gatewayHeartbeat(0, "10.0.1.1:7000", "north-a", "north");
    cluster.gatewayHeartbeat(0, "10.0.1.3:7000", "south-a", "south");
    (void)cluster.takeSentTo("10.0.1.3:7000");
    EXPECT_EQ(statusOf(cluster.call(0, "POST", "/v1/targets/t-1/heartbeat", heartbeatText(1, "ready", 3000))), 200);
    cluster.run(300ms);
    std::vector<HostId> told;
    for (const model::Message& message : cluster.takeSentTo("10.0.1.3:7000")) {
        if (const auto* report = std::get_if<model::TargetReport>(&message)) {
            for (const model::TargetRecord& record : report->targets)
                told.push_back(record.slowStartHost);
        }
    }
    ASSERT_FALSE(told.empty());
    EXPECT_EQ(told.back(), HostId("10.0.1.1:7000"));
}

TEST(MembershipTest, AnOlderHeartbeatChangesNothing)
{
    RegistryCluster cluster(3);
    cluster.gatewayHeartbeat(0, "10.0.1.1:7000", "north-a", "north");
    EXPECT_EQ(statusOf(cluster.call(0, "POST", "/v1/targets/t-1/heartbeat", heartbeatText(7))), 200);
    EXPECT_EQ(statusOf(cluster.call(0, "POST", "/v1/targets/t-1/heartbeat", heartbeatText(6, "ready", 3000))), 200);
    cluster.run(300ms);
    for (const model::Message& message : cluster.takeSentTo("10.0.1.1:7000")) {
        if (const auto* report = std::get_if<model::TargetReport>(&message)) {
            for (const model::TargetRecord& record : report->targets)
                EXPECT_EQ(record.sequence, 7U);
        }
    }
    EXPECT_EQ(statusOf(cluster.call(0, "POST", "/v1/targets/t-1/heartbeat", "{}")), 400);
}

} // namespace saltvane::registry::test
