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

TEST(MembershipTest, GroupFormsFromSeedsAndAdmitsOtherHosts)
{
    RegistryCluster cluster(6);
    EXPECT_TRUE(allVote(cluster, 6));
    EXPECT_LT(cluster.now(), Timestamp(107s)); // In deployments traffic begins 8 s after the start.
}

TEST(MembershipTest, PlanSurvivesRestartOfAllHosts)
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

TEST(MembershipTest, LeaderIsElectedSoonAfterRestartOfAllHosts)
{
    RegistryCluster cluster(6);
    cluster.messageDelay = 35ms; // Between distant regions.
    ASSERT_TRUE(allVote(cluster, 6));
    for (int round = 0; round < 40; ++round) {
        for (size_t number = 0; number < 6; ++number)
            cluster.kill(number);
        for (size_t number = 0; number < 6; ++number) {
            cluster.start(number, false);
            cluster.run(60ms);
        }
        // A host doesn't vote in the first 450 ms after its start, since a former leader's lease may last that long.
        const Timestamp since = cluster.now();
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader().has_value(); }));
        EXPECT_LE(cluster.now() - since, 900ms) << "round " << round;
    }
}

TEST(MembershipTest, HostWithWipedDiskRejoinsAndFoundsNoGroup)
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

TEST(MembershipTest, NewHostReplacesALostOne)
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

TEST(MembershipTest, HostThatStaysDownLosesItsVote)
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

TEST(MembershipTest, LookUpsOmitUnresponsiveGateways)
{
    RegistryCluster cluster(3);
    const std::string path = "/v1/entry?name=h&region=south&zone=south-a";
    const auto isNamed = [&](size_t number, const std::string& address) {
        return cluster.call(number, "GET", path)->body.find(address) != std::string::npos;
    };
    // Host 0 is in region north: gateways of south send it heartbeats every 1.2 s, those of north every 0.3 s.
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

TEST(MembershipTest, SlowStartTargetIsAssignedOneGatewayOfItsZone)
{
    RegistryCluster cluster(3);
    cluster.gatewayHeartbeat(0, "10.0.1.1:7000", "north-a", "north");
    cluster.gatewayHeartbeat(0, "10.0.1.3:7000", "south-a", "south");
    (void)cluster.drainSentTo("10.0.1.3:7000");
    EXPECT_EQ(statusOf(cluster.call(0, "POST", "/v1/targets/t-1/heartbeat", heartbeatText(1, "ready", 3000))), 200);
    cluster.run(300ms);
    std::vector<HostId> records;
    for (const model::Message& message : cluster.drainSentTo("10.0.1.3:7000")) {
        if (const auto* report = std::get_if<model::TargetReport>(&message)) {
            for (const model::TargetRecord& record : report->targets)
                records.push_back(record.slowStartHost);
        }
    }
    ASSERT_FALSE(records.empty());
    EXPECT_EQ(records.back(), HostId("10.0.1.1:7000"));
}

// Guards against gateways that take the answer to a pull as a sign that they know all targets before they do.
TEST(MembershipTest, TargetsAreSentBeforeTheAnswerToTheFirstPull)
{
    RegistryCluster cluster(3);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    ASSERT_EQ(statusOf(cluster.call(0, "POST", "/v1/targets/t-1/heartbeat", heartbeatText(1))), 200);
    const HostId gateway("10.0.1.1:7000");
    cluster.linkUpTo(0, gateway, {1});
    cluster.deliverFromGateway(0, gateway, {1}, model::BundlePull {.pull = 7});
    cluster.run(100ms);
    bool areTargetsSent = false;
    bool isAnswered = false;
    for (const model::Message& message : cluster.drainSentTo(gateway.value())) {
        const auto* report = std::get_if<model::TargetReport>(&message);
        areTargetsSent = areTargetsSent || (report != nullptr && !report->targets.empty());
        const bool isAnswer = std::holds_alternative<model::BundleCurrent>(message)
            || std::holds_alternative<model::BundlePush>(message) || std::holds_alternative<model::BundlePart>(message);
        EXPECT_TRUE(areTargetsSent || !isAnswer);
        isAnswered = isAnswered || isAnswer;
    }
    EXPECT_TRUE(areTargetsSent);
    EXPECT_TRUE(isAnswered);
}

// Guards against gateways that share by numbers that changed: two of them would use the same share.
TEST(MembershipTest, GatewaysAreNumberedAgainWhenOneJoinsOrIsLost)
{
    RegistryCluster cluster(3);
    const auto numbersTold = [&cluster](const std::string& host) {
        std::pair<uint32_t, uint32_t> told;
        for (const model::Message& message : cluster.drainSentTo(host)) {
            if (const auto* report = std::get_if<model::TargetReport>(&message))
                told = {report->gatewayNumber, report->gateways};
        }
        return told;
    };
    const auto heartbeatsOf = [&cluster](std::initializer_list<const char*> hosts) {
        for (int i = 0; i < 8; ++i) {
            for (const char* host : hosts)
                cluster.gatewayHeartbeat(0, host, "north-a", "north");
            cluster.run(1s);
        }
    };
    heartbeatsOf({"10.0.1.2:7000"});
    EXPECT_EQ(numbersTold("10.0.1.2:7000"), std::pair(1U, 1U));
    heartbeatsOf({"10.0.1.1:7000", "10.0.1.2:7000"});
    EXPECT_EQ(numbersTold("10.0.1.1:7000"), std::pair(1U, 2U));
    EXPECT_EQ(numbersTold("10.0.1.2:7000"), std::pair(2U, 2U));
    heartbeatsOf({"10.0.1.2:7000"});
    EXPECT_EQ(numbersTold("10.0.1.2:7000"), std::pair(1U, 1U));
}

TEST(MembershipTest, OlderHeartbeatIsIgnored)
{
    RegistryCluster cluster(3);
    cluster.gatewayHeartbeat(0, "10.0.1.1:7000", "north-a", "north");
    EXPECT_EQ(statusOf(cluster.call(0, "POST", "/v1/targets/t-1/heartbeat", heartbeatText(7))), 200);
    EXPECT_EQ(statusOf(cluster.call(0, "POST", "/v1/targets/t-1/heartbeat", heartbeatText(6, "ready", 3000))), 200);
    cluster.run(300ms);
    for (const model::Message& message : cluster.drainSentTo("10.0.1.1:7000")) {
        if (const auto* report = std::get_if<model::TargetReport>(&message)) {
            for (const model::TargetRecord& record : report->targets)
                EXPECT_EQ(record.sequence, 7U);
        }
    }
    EXPECT_EQ(statusOf(cluster.call(0, "POST", "/v1/targets/t-1/heartbeat", "{}")), 400);
}

namespace {

/// Target records sent to a gateway since the last call.
std::vector<model::TargetRecord> drainRecords(RegistryCluster& cluster, const std::string& gateway)
{
    std::vector<model::TargetRecord> records;
    for (const model::Message& message : cluster.drainSentTo(gateway)) {
        if (const auto* report = std::get_if<model::TargetReport>(&message))
            records.insert(records.end(), report->targets.begin(), report->targets.end());
    }
    return records;
}

model::TargetReport drainLastReport(RegistryCluster& cluster, const std::string& gateway)
{
    model::TargetReport last;
    for (const model::Message& message : cluster.drainSentTo(gateway)) {
        if (const auto* report = std::get_if<model::TargetReport>(&message))
            last = *report;
    }
    return last;
}

class TargetUpdateTest : public testing::Test {
protected:
    TargetUpdateTest() { heartbeats(); }

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

TEST_F(TargetUpdateTest, TargetIsReportedOnceAndOnChange)
{
    report("t-1", 1);
    EXPECT_EQ(drainRecords(cluster_, Gateway).size(), 1U);
    for (uint64_t sequence = 2; sequence < 15; ++sequence) {
        report("t-1", sequence);
        cluster_.run(700ms);
    }
    EXPECT_TRUE(drainRecords(cluster_, Gateway).empty());
}

TEST_F(TargetUpdateTest, TargetThatReportedToAnotherHostIsReportedAgain)
{
    report("t-1", 1);
    (void)drainRecords(cluster_, Gateway);
    report("t-1", 4);
    EXPECT_EQ(drainRecords(cluster_, Gateway).size(), 1U);
}

TEST_F(TargetUpdateTest, UnresponsiveTargetIsReportedOnceMoreWithItsAge)
{
    report("t-1", 1);
    (void)drainRecords(cluster_, Gateway);
    for (int i = 0; i < 13; ++i) {
        cluster_.run(1s);
        heartbeats();
    }
    const std::vector<model::TargetRecord> records = drainRecords(cluster_, Gateway);
    ASSERT_EQ(records.size(), 1U);
    EXPECT_GE(records[0].age, model::TargetHeartbeatTimeout);
    report("t-1", 2);
    EXPECT_EQ(drainRecords(cluster_, Gateway).size(), 1U); // It is reported again.
}

TEST_F(TargetUpdateTest, TargetsAreReportedAgainAfterTheirZonesEvacuationEnds)
{
    ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.leader().has_value(); }));
    ASSERT_EQ(statusOf(cluster_.order("PUT", "/v1/plan", planText(1), "0")), 200);
    report("t-1", 1);
    ASSERT_EQ(statusOf(cluster_.order("PUT", "/v1/evacuations/north-a")), 200);
    ASSERT_EQ(statusOf(cluster_.order("DELETE", "/v1/evacuations/north-a")), 200);
    (void)drainRecords(cluster_, Gateway);
    report("t-1", 2);
    EXPECT_EQ(drainRecords(cluster_, Gateway).size(), 1U);
}

namespace {

/// Restarts of all registry hosts, before targets report again.
class TargetRecallTest : public TargetUpdateTest {
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
        (void)drainRecords(cluster_, Gateway);
    }
    /// Records sent to the gateway within half a second after the hosts' restart.
    std::vector<model::TargetRecord> recordsAfterRestart()
    {
        constexpr int Steps = 10;
        for (int i = 0; i < Steps; ++i) {
            cluster_.run(50ms);
            heartbeats();
        }
        return drainRecords(cluster_, Gateway);
    }
    static constexpr size_t Hosts = 3;
    static constexpr Duration SoftStateDelay = 2500ms; ///< Until the soft state is written.
    static constexpr Duration SlowStart = 3s; ///< As planText() states.
};

} // namespace

// Guards against refusals after a power loss of all hosts: targets report again only within 1.5 s. Gateways that waited
// for these reports refused 154 requests per restart of nine gateways, until 1.5 s after the leader was elected.
TEST_F(TargetRecallTest, GatewaysReceiveRecalledTargetsBeforeTheyReport)
{
    report("t-1", 1);
    cluster_.run(SoftStateDelay);
    restartAll();
    const std::vector<model::TargetRecord> records = recordsAfterRestart();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].target, TargetId("t-1"));
    EXPECT_TRUE(records[0].isRecalled);
    report("t-1", 2);
    const std::vector<model::TargetRecord> reported = drainRecords(cluster_, Gateway);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_FALSE(reported[0].isRecalled);
}

TEST_F(TargetRecallTest, RetiredTargetIsNotRecalled)
{
    report("t-1", 1);
    cluster_.run(SoftStateDelay);
    // The target is retired in the log; the soft state on the disk is older.
    ASSERT_EQ(statusOf(cluster_.order("POST", "/v1/targets/t-1/leave")), 200);
    restartAll();
    EXPECT_TRUE(recordsAfterRestart().empty());
}

// Guards against registry hosts that learn of an evacuation and its end at once, and list targets by reports from
// before.
TEST(ReopenedZoneTest, HostThatWasCutOffListsTargetsAsSlowUntilTheyReport)
{
    RegistryCluster cluster(3);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    const size_t cutOff = (cluster.leader().value() + 1) % 3;
    ASSERT_EQ(statusOf(cluster.call(cutOff, "POST", "/v1/targets/t-1/heartbeat", heartbeatText(1))), 200);
    cluster.isolate(cutOff);
    cluster.run(100ms);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/evacuations/north-a")), 200);
    ASSERT_EQ(statusOf(cluster.order("DELETE", "/v1/evacuations/north-a")), 200);
    cluster.heal();
    cluster.run(1s);
    const std::string gateway = "10.0.1.1:7000";
    cluster.linkUpTo(cutOff, HostId(gateway), {1});
    cluster.gatewayHeartbeat(cutOff, gateway, "north-a", "north");
    cluster.run(100ms);
    std::vector<model::TargetRecord> records = drainRecords(cluster, gateway);
    ASSERT_FALSE(records.empty());
    EXPECT_GT(records.back().slowStartLeft, records.back().age);
    ASSERT_EQ(statusOf(cluster.call(cutOff, "POST", "/v1/targets/t-1/heartbeat", heartbeatText(2))), 200);
    cluster.run(300ms);
    records = drainRecords(cluster, gateway);
    ASSERT_FALSE(records.empty());
    EXPECT_EQ(records.back().slowStartLeft, 0s);
}

// Guards against hosts that restart right after a zone was reopened and recall its targets as ready for any rate.
TEST_F(TargetRecallTest, TargetsThatReportedBeforeTheirZoneWasReopenedAreListedAsSlow)
{
    report("t-1", 1);
    cluster_.run(SoftStateDelay);
    ASSERT_EQ(statusOf(cluster_.order("PUT", "/v1/evacuations/north-a")), 200);
    ASSERT_EQ(statusOf(cluster_.order("DELETE", "/v1/evacuations/north-a")), 200);
    restartAll();
    for (const model::TargetRecord& record : recordsAfterRestart())
        EXPECT_GT(record.slowStartLeft, record.age);
}

// Guards against hosts that make callers wait after each restart because a zone was evacuated once.
TEST_F(TargetRecallTest, TargetsThatReportedAfterTheirZoneWasReopenedAreRecalled)
{
    report("t-1", 1);
    ASSERT_EQ(statusOf(cluster_.order("PUT", "/v1/evacuations/north-a")), 200);
    ASSERT_EQ(statusOf(cluster_.order("DELETE", "/v1/evacuations/north-a")), 200);
    cluster_.run(500ms); // Until all hosts have applied the orders.
    report("t-1", 2);
    cluster_.run(SlowStart + SoftStateDelay);
    restartAll();
    const std::vector<model::TargetRecord> records = recordsAfterRestart();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].slowStartLeft, 0s);
    report("t-1", 3);
    EXPECT_TRUE(drainLastReport(cluster_, Gateway).reopenedZones.empty());
}

// Guards against hosts that restart shortly after a zone was reopened, and take a report from before the slow start of
// its target, which arrives after the restart, for a sign that there is none.
TEST_F(TargetRecallTest, ReopeningIsRecentAfterARestartWithinTheSlowStart)
{
    report("t-1", 1);
    ASSERT_EQ(statusOf(cluster_.order("PUT", "/v1/evacuations/north-a")), 200);
    ASSERT_EQ(statusOf(cluster_.order("DELETE", "/v1/evacuations/north-a")), 200);
    cluster_.run(SlowStart - 500ms); // The soft state is written at least twice meanwhile.
    restartAll();
    (void)recordsAfterRestart();
    report("t-1", 2);
    const std::vector<model::ReopenedZone> zones = drainLastReport(cluster_, Gateway).reopenedZones;
    ASSERT_EQ(zones.size(), 1U);
    EXPECT_EQ(zones[0].zone, ZoneName("north-a"));
    EXPECT_LT(zones[0].age, SlowStart);
}

TEST_F(TargetRecallTest, TargetsOfEvacuatedZoneAreNotRecalled)
{
    report("t-1", 1);
    ASSERT_EQ(statusOf(cluster_.order("PUT", "/v1/evacuations/north-a")), 200);
    cluster_.run(SoftStateDelay);
    ASSERT_EQ(statusOf(cluster_.order("DELETE", "/v1/evacuations/north-a")), 200);
    restartAll(); // The targets may be in a slow start; their next report shows it.
    EXPECT_TRUE(recordsAfterRestart().empty());
}

TEST_F(TargetRecallTest, RecalledTargetThatNeverReportsExpires)
{
    report("t-1", 1);
    cluster_.run(SoftStateDelay);
    restartAll();
    EXPECT_EQ(recordsAfterRestart().size(), 1U);
    for (int i = 0; i < 13; ++i) {
        cluster_.run(1s);
        heartbeats();
    }
    const std::vector<model::TargetRecord> last = drainRecords(cluster_, Gateway);
    ASSERT_EQ(last.size(), 1U);
    EXPECT_GE(last[0].age, model::TargetHeartbeatTimeout);
}

TEST_F(TargetUpdateTest, DelayedHeartbeatDoesNotRestoreADisplacedTarget)
{
    report("old", 5);
    report("new", 1); // At the same address.
    (void)drainRecords(cluster_, Gateway);
    report("old", 6);
    EXPECT_TRUE(drainRecords(cluster_, Gateway).empty());
    report("new", 2);
    cluster_.gatewayHeartbeat(0, "10.0.1.9:7000", "north-a", "north");
    cluster_.run(300ms);
    const std::vector<model::TargetRecord> all = drainRecords(cluster_, "10.0.1.9:7000");
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].target, TargetId("new"));
}

/// Guards against a gateway that never learns of targets which left while it sent no heartbeats on an open link.
TEST(MembershipTest, UnresponsiveGatewayWithOpenLinkReceivesRetirements)
{
    const std::string gateway = "10.1.0.1:7000";
    RegistryCluster cluster(6);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader().has_value(); }));
    const size_t registry = *cluster.leader();
    cluster.linkUpTo(registry, HostId(gateway), {1});
    cluster.gatewayHeartbeat(registry, gateway, "north-a", "north");
    ASSERT_TRUE(cluster.order("POST", "/v1/targets/t-1/heartbeat", heartbeatText(1)));
    cluster.run(5s);
    (void)cluster.drainSentTo(gateway);
    ASSERT_TRUE(cluster.order("POST", "/v1/targets/t-1/heartbeat", heartbeatText(2, "leaving")));
    cluster.run(500ms);
    cluster.gatewayHeartbeat(registry, gateway, "north-a", "north");
    cluster.run(500ms);
    bool isRetirementSent = false;
    for (const model::Message& message : cluster.drainSentTo(gateway)) {
        const auto* report = std::get_if<model::TargetReport>(&message);
        isRetirementSent = isRetirementSent || (report != nullptr && !report->retired.empty());
    }
    EXPECT_TRUE(isRetirementSent);
}

// Guards against gateways that never learn of a target which left because a report was lost on a standing link.
TEST(MembershipTest, GatewayThatMissedAReportReceivesAllOrdersAgain)
{
    const std::string gateway = "10.1.0.1:7000";
    RegistryCluster cluster(6);
    ASSERT_TRUE(cluster.order("PUT", "/v1/plan", planText(1), "0"));
    const size_t registry = *cluster.leader();
    cluster.linkUpTo(registry, HostId(gateway), {1});
    cluster.gatewayHeartbeat(registry, gateway, "north-a", "north");
    ASSERT_TRUE(cluster.order("POST", "/v1/targets/t-1/leave"));
    cluster.run(500ms);
    (void)cluster.drainSentTo(gateway);
    cluster.deliverFromGateway(registry, HostId(gateway), {1},
        model::BundlePull {.have = cluster.status(registry).inForce, .pull = 7, .wantsFullReport = true});
    cluster.run(100ms);
    LogPosition retiredAt;
    LogPosition answeredAt;
    for (const model::Message& message : cluster.drainSentTo(gateway)) {
        const auto* report = std::get_if<model::TargetReport>(&message);
        if (report != nullptr && !report->retired.empty() && report->ordersSince == LogPosition {})
            retiredAt = report->orders;
        const auto* answer = std::get_if<model::BundleCurrent>(&message);
        if (answer != nullptr && retiredAt != LogPosition {})
            answeredAt = answer->orders;
    }
    EXPECT_NE(retiredAt, LogPosition {});
    EXPECT_EQ(answeredAt, retiredAt);
}

} // namespace saltvane::registry::test
