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

TEST(MembershipTest, AfterAllWereKilledALeaderStandsSoon)
{
    RegistryCluster cluster(6);
    cluster.messageDelay = 35ms; // Between far regions.
    ASSERT_TRUE(allVote(cluster, 6));
    for (int round = 0; round < 40; ++round) {
        for (size_t number = 0; number < 6; ++number)
            cluster.kill(number);
        for (size_t number = 0; number < 6; ++number) {
            cluster.start(number, false);
            cluster.run(60ms);
        }
        // Nobody votes in the first 450 ms after its start: the lease of a leader before may stand as long.
        const Timestamp since = cluster.now();
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader().has_value(); }));
        EXPECT_LE(cluster.now() - since, 900ms) << "round " << round;
    }
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
}

TEST(MembershipTest, LookUpsLeaveOutGatewaysThatAreSilentTooLong)
{
    RegistryCluster cluster(3);
    const std::string path = "/v1/entry?name=h&region=south&zone=south-a";
    const auto isNamed = [&](size_t number, const std::string& address) {
        return cluster.call(number, "GET", path)->body.find(address) != std::string::npos;
    };
    // Host 0 is in region north: gateways of south send it heartbeats each 1.2 s, those of north each 0.3 s.
    cluster.gatewayHeartbeat(0, "10.0.1.3:7000", "south-a", "south");
    cluster.run(2s);
    cluster.gatewayHeartbeat(0, "10.0.1.4:7000", "south-a", "south");
    EXPECT_TRUE(isNamed(0, "10.0.1.3:80"));
    cluster.run(2500ms);
    cluster.gatewayHeartbeat(0, "10.0.1.4:7000", "south-a", "south");
    EXPECT_FALSE(isNamed(0, "10.0.1.3:80"));

    const std::string nearPath = "/v1/entry?name=h&region=north&zone=north-a";
    cluster.gatewayHeartbeat(0, "10.0.1.1:7000", "north-a", "north");
    cluster.run(1200ms);
    cluster.gatewayHeartbeat(0, "10.0.1.2:7000", "north-a", "north");
    EXPECT_EQ(cluster.call(0, "GET", nearPath)->body.find("10.0.1.1:80"), std::string::npos);
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

namespace {

/// Records of a target that a gateway was sent since the last look.
std::vector<model::TargetRecord> takeTold(RegistryCluster& cluster, const std::string& gateway)
{
    std::vector<model::TargetRecord> told;
    for (const model::Message& message : cluster.takeSentTo(gateway)) {
        if (const auto* report = std::get_if<model::TargetReport>(&message))
            told.insert(told.end(), report->targets.begin(), report->targets.end());
    }
    return told;
}

class TargetNewsTest : public testing::Test {
protected:
    TargetNewsTest() { heartbeats(); }

    void heartbeats() { cluster_.gatewayHeartbeat(0, Gateway, "north-a", "north"); }
    void report(const std::string& target, uint64_t sequence)
    {
        heartbeats();
        EXPECT_EQ(
            statusOf(cluster_.call(0, "POST", "/v1/targets/" + target + "/heartbeat", heartbeatText(sequence))), 200);
        cluster_.run(300ms);
    }

    static constexpr const char* Gateway = "10.0.1.1:7000";
    RegistryCluster cluster_ {3};
};

} // namespace

TEST_F(TargetNewsTest, ATargetIsToldOnceAndAgainOnlyWhenItChanges)
{
    report("t-1", 1);
    EXPECT_EQ(takeTold(cluster_, Gateway).size(), 1U);
    for (uint64_t sequence = 2; sequence < 15; ++sequence) {
        report("t-1", sequence);
        cluster_.run(700ms);
    }
    EXPECT_TRUE(takeTold(cluster_, Gateway).empty());
}

TEST_F(TargetNewsTest, ATargetThatCalledElsewhereInBetweenIsToldAgain)
{
    report("t-1", 1);
    (void)takeTold(cluster_, Gateway);
    report("t-1", 4);
    EXPECT_EQ(takeTold(cluster_, Gateway).size(), 1U);
}

TEST_F(TargetNewsTest, ASilentTargetIsToldForTheLastTimeWithItsAge)
{
    report("t-1", 1);
    (void)takeTold(cluster_, Gateway);
    for (int i = 0; i < 13; ++i) {
        cluster_.run(1s);
        heartbeats();
    }
    const std::vector<model::TargetRecord> told = takeTold(cluster_, Gateway);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_GE(told[0].age, model::TargetSilenceLimit);
    report("t-1", 2);
    EXPECT_EQ(takeTold(cluster_, Gateway).size(), 1U); // Heard of once more.
}

TEST_F(TargetNewsTest, TargetsOfAZoneThatWasOpenedAgainAreToldWithTheirNextHeartbeat)
{
    ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.leader().has_value(); }));
    report("t-1", 1);
    ASSERT_EQ(statusOf(cluster_.order("PUT", "/v1/evacuations/north-a")), 200);
    ASSERT_EQ(statusOf(cluster_.order("DELETE", "/v1/evacuations/north-a")), 200);
    (void)takeTold(cluster_, Gateway);
    report("t-1", 2);
    EXPECT_EQ(takeTold(cluster_, Gateway).size(), 1U);
}

namespace {

/// All registry hosts lost their processes and are back; targets have not reported again.
class TargetRecallTest : public TargetNewsTest {
protected:
    TargetRecallTest()
    {
        EXPECT_TRUE(cluster_.runUntil([&] { return cluster_.leader().has_value(); }));
        EXPECT_EQ(statusOf(cluster_.order("PUT", "/v1/plan", planText(1), "0")), 200);
    }
    void restartAll()
    {
        for (size_t number = 0; number < Hosts; ++number)
            cluster_.kill(number);
        for (size_t number = 0; number < Hosts; ++number)
            cluster_.start(number, false);
        (void)takeTold(cluster_, Gateway);
    }
    /// What the gateway hears of a target within half a second of the hosts' return.
    std::vector<model::TargetRecord> toldAfterRestart()
    {
        constexpr int Steps = 10;
        for (int i = 0; i < Steps; ++i) {
            cluster_.run(50ms);
            heartbeats();
        }
        return takeTold(cluster_, Gateway);
    }
    static constexpr size_t Hosts = 3;
    static constexpr Duration WrittenAfter = 2500ms;
};

} // namespace

// The pattern: all hosts lost power; targets report again within 1.5 s only. Gateways that wait for that refuse what
// the targets would serve: 154 refusals a restart of nine gateways, until 1.5 s after the leader stood.
TEST_F(TargetRecallTest, GatewaysHearOfTargetsBeforeTheyReportAgain)
{
    report("t-1", 1);
    cluster_.run(WrittenAfter);
    restartAll();
    const std::vector<model::TargetRecord> told = toldAfterRestart();
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].target, TargetId("t-1"));
    EXPECT_TRUE(told[0].isRecalled);
    report("t-1", 2);
    const std::vector<model::TargetRecord> reported = takeTold(cluster_, Gateway);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_FALSE(reported[0].isRecalled);
}

TEST_F(TargetRecallTest, ATargetThatLeftIsNotRecalled)
{
    report("t-1", 1);
    cluster_.run(WrittenAfter);
    // Retired in the log; the disk's word of it is older.
    ASSERT_EQ(statusOf(cluster_.order("POST", "/v1/targets/t-1/leave")), 200);
    restartAll();
    EXPECT_TRUE(toldAfterRestart().empty());
}

TEST_F(TargetRecallTest, TargetsOfAClosedZoneAreNotRecalledAfterItIsOpenedAgain)
{
    report("t-1", 1);
    ASSERT_EQ(statusOf(cluster_.order("PUT", "/v1/evacuations/north-a")), 200);
    cluster_.run(WrittenAfter);
    ASSERT_EQ(statusOf(cluster_.order("DELETE", "/v1/evacuations/north-a")), 200);
    restartAll(); // They may have turned slow: their next report tells.
    EXPECT_TRUE(toldAfterRestart().empty());
}

TEST_F(TargetRecallTest, ATargetThatNeverReportsAgainIsForgotten)
{
    report("t-1", 1);
    cluster_.run(WrittenAfter);
    restartAll();
    EXPECT_EQ(toldAfterRestart().size(), 1U);
    for (int i = 0; i < 13; ++i) {
        cluster_.run(1s);
        heartbeats();
    }
    const std::vector<model::TargetRecord> last = takeTold(cluster_, Gateway);
    ASSERT_EQ(last.size(), 1U);
    EXPECT_GE(last[0].age, model::TargetSilenceLimit);
}

TEST_F(TargetNewsTest, ADelayedHeartbeatDoesNotBringBackTheStartBefore)
{
    report("old", 5);
    report("new", 1); // At the same address.
    (void)takeTold(cluster_, Gateway);
    report("old", 6);
    EXPECT_TRUE(takeTold(cluster_, Gateway).empty());
    report("new", 2);
    cluster_.gatewayHeartbeat(0, "10.0.1.9:7000", "north-a", "north");
    cluster_.run(300ms);
    const std::vector<model::TargetRecord> all = takeTold(cluster_, "10.0.1.9:7000");
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].target, TargetId("new"));
}

/// Guards against targets that leave while a gateway is silent and its link stands: nothing would tell it later.
TEST(MembershipTest, AGatewayThatWasSilentOnAStandingLinkIsToldWhoLeftMeanwhile)
{
    const std::string gateway = "10.1.0.1:7000";
    RegistryCluster cluster(6);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader().has_value(); }));
    const size_t registry = *cluster.leader();
    cluster.linkUpTo(registry, HostId(gateway), {1});
    cluster.gatewayHeartbeat(registry, gateway, "north-a", "north");
    ASSERT_TRUE(cluster.order("POST", "/v1/targets/t-1/heartbeat", heartbeatText(1)));
    cluster.run(5s);
    (void)cluster.takeSentTo(gateway);
    ASSERT_TRUE(cluster.order("POST", "/v1/targets/t-1/heartbeat", heartbeatText(2, "leaving")));
    cluster.run(500ms);
    cluster.gatewayHeartbeat(registry, gateway, "north-a", "north");
    cluster.run(500ms);
    bool isTold = false;
    for (const model::Message& message : cluster.takeSentTo(gateway)) {
        const auto* report = std::get_if<model::TargetReport>(&message);
        isTold = isTold || (report != nullptr && !report->retired.empty());
    }
    EXPECT_TRUE(isTold);
}

} // namespace saltvane::registry::test
