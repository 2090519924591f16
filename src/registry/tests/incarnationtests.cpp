/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targettable.h"
#include "registrycluster.h"

#include <boost/random/mersenne_twister.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

/// Targets that restart under the same id.
namespace saltvane::registry::test {

namespace {

constexpr const char* Gateway = "10.0.1.1:7000";
constexpr const char* HeartbeatPath = "/v1/targets/t-1/heartbeat";
constexpr const char* LeavePath = "/v1/targets/t-1/leave";

int statusOf(const std::optional<RegistryCluster::Answer>& answer) { return answer ? answer->status : 0; }

class IncarnationTest : public testing::Test {
protected:
    IncarnationTest()
    {
        EXPECT_EQ(statusOf(cluster_.order("PUT", "/v1/plan", planText(1), "0")), 200);
        heartbeat();
    }
    void heartbeat()
    {
        for (size_t host = 0; host < Hosts; ++host)
            cluster_.gatewayHeartbeat(host, Gateway, "north-a", "north");
    }
    /// Reports to the leader, so that a leave needs no redirect.
    void report(uint64_t startedMs, uint64_t sequence, const std::string& state = "ready")
    {
        heartbeat();
        EXPECT_EQ(statusOf(cluster_.order("POST", HeartbeatPath, heartbeatOfStart(startedMs, sequence, state))), 200);
        cluster_.run(300ms);
    }
    /// The last record of the target that any host sent to the gateway since the last call.
    std::optional<model::TargetRecord> takeLastRecord()
    {
        std::optional<model::TargetRecord> last;
        for (const model::Message& message : cluster_.drainSentTo(Gateway)) {
            const auto* report = std::get_if<model::TargetReport>(&message);
            if (report != nullptr && !report->targets.empty())
                last = report->targets.back();
        }
        return last;
    }
    void reportTo(size_t host, uint64_t startedMs, uint64_t sequence)
    {
        EXPECT_EQ(statusOf(cluster_.call(host, "POST", HeartbeatPath, heartbeatOfStart(startedMs, sequence))), 200);
    }
    [[nodiscard]] size_t follower() const { return (*cluster_.leader() + 1) % Hosts; }
    /// The incarnations of retired targets that any host sent to the gateway since the last call.
    std::set<uint64_t> drainRetired()
    {
        std::set<uint64_t> retired;
        for (const model::Message& message : cluster_.drainSentTo(Gateway)) {
            if (const auto* report = std::get_if<model::TargetReport>(&message)) {
                for (const model::TargetIncarnation& entry : report->retired)
                    retired.insert(entry.incarnation.value);
            }
        }
        return retired;
    }
    static constexpr size_t Hosts = 3;
    /// More than the hosts take to tell the leader which incarnation left.
    static constexpr Duration ResolveTime = 1s;
    RegistryCluster cluster_ {Hosts};
};

} // namespace

TEST_F(IncarnationTest, NewIncarnationOfKnownTargetIsReportedAtOnce)
{
    report(1000, 50);
    (void)takeLastRecord();
    report(2000, 1);
    const auto record = takeLastRecord();
    ASSERT_TRUE(record);
    EXPECT_EQ(record->incarnation, Incarnation {2000});
    EXPECT_EQ(record->sequence, 1U);
}

TEST_F(IncarnationTest, DelayedReportOfOlderIncarnationIsIgnored)
{
    report(2000, 1);
    (void)takeLastRecord();
    report(1000, 90);
    EXPECT_FALSE(takeLastRecord());
    report(2000, 9); // The gap in the sequence shows reports to other hosts: sent again.
    EXPECT_EQ(takeLastRecord()->incarnation, Incarnation {2000});
}

TEST_F(IncarnationTest, LeaveAppliesToItsIncarnationAndOlderOnesOnly)
{
    report(1000, 5, "leaving");
    EXPECT_TRUE(takeLastRecord()->isLeaving);
    report(1000, 6);
    report(900, 7);
    const auto latest = takeLastRecord();
    EXPECT_TRUE(!latest || latest->isLeaving);
    report(2000, 1);
    const auto later = takeLastRecord();
    ASSERT_TRUE(later);
    EXPECT_EQ(later->incarnation, Incarnation {2000});
    EXPECT_FALSE(later->isLeaving);
}

TEST_F(IncarnationTest, DelayedLeaveOfOlderIncarnationDoesNotAffectTheNewer)
{
    report(1000, 5);
    report(2000, 1);
    (void)takeLastRecord();
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath, R"({"started_ms":1000})")), 200);
    cluster_.run(300ms);
    report(2000, 4);
    const auto record = takeLastRecord();
    ASSERT_TRUE(record);
    EXPECT_FALSE(record->isLeaving);
}

TEST_F(IncarnationTest, LeaveWithoutIncarnationAppliesToTheKnownOne)
{
    report(1000, 5);
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    cluster_.run(ResolveTime);
    report(1000, 6);
    EXPECT_TRUE(takeLastRecord()->isLeaving);
    report(2000, 1);
    EXPECT_FALSE(takeLastRecord()->isLeaving);
}

// Guards against targets that stay unused because they started again within moments of a leave without an incarnation.
TEST_F(IncarnationTest, LeaveWithoutIncarnationDoesNotApplyToAQuickRestart)
{
    reportTo(follower(), 1000, 5);
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    report(2000, 1);
    cluster_.run(ResolveTime);
    EXPECT_EQ(drainRetired(), (std::set<uint64_t> {0, 1000}));
    report(2000, 4);
    EXPECT_FALSE(takeLastRecord()->isLeaving);
}

// Guards against leaves without an incarnation that are ordered for an earlier one, which the leader happens to know.
TEST_F(IncarnationTest, LeaveWithoutIncarnationAppliesToTheLatestThatAnyHostKnows)
{
    report(1000, 5);
    reportTo(follower(), 2000, 1);
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    cluster_.run(ResolveTime);
    EXPECT_EQ(drainRetired(), (std::set<uint64_t> {0, 2000}));
}

// Guards against leaves without an incarnation that are acknowledged without effect because an earlier one left.
TEST_F(IncarnationTest, LeaveWithoutIncarnationIsOrderedAgainAfterThatOfAnEarlierOne)
{
    report(1000, 5, "leaving");
    reportTo(follower(), 2000, 1);
    (void)drainRetired();
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    cluster_.run(ResolveTime);
    EXPECT_EQ(drainRetired(), (std::set<uint64_t> {0, 2000}));
}

// Guards against a target that left, is known to none of the hosts in touch, and is used once one returns that knows
// it.
TEST_F(IncarnationTest, LeaveWithoutIncarnationWaitsForHostsThatAreCutOff)
{
    const size_t cutOff = follower();
    reportTo(cutOff, 1000, 5);
    cluster_.isolate(cutOff);
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    for (int i = 0; i < 20; ++i) {
        cluster_.run(1s);
        heartbeat();
        cluster_.post(cutOff, HeartbeatPath, heartbeatOfStart(1000, 6 + static_cast<uint64_t>(i)));
    }
    EXPECT_EQ(drainRetired(), (std::set<uint64_t> {0}));
    cluster_.heal();
    cluster_.run(5s);
    EXPECT_EQ(drainRetired(), (std::set<uint64_t> {0, 1000}));
}

// Guards against a host that learns of a leave without an incarnation by a snapshot, and lists the target again.
TEST_F(IncarnationTest, LeaveWithoutIncarnationAppliesToWhatAHostKnowsThatReceivesASnapshot)
{
    constexpr int OrdersUntilSnapshot = 4200;
    const size_t cutOff = follower();
    reportTo(cutOff, 1000, 5);
    cluster_.isolate(cutOff);
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    for (int i = 0; i < OrdersUntilSnapshot; ++i) {
        const std::string method = i % 2 == 0 ? "PUT" : "DELETE";
        ASSERT_EQ(statusOf(cluster_.order(method, "/v1/evacuations/north-a")), 200);
        if (i % 50 == 0)
            cluster_.post(cutOff, HeartbeatPath, heartbeatOfStart(1000, 6 + static_cast<uint64_t>(i)));
    }
    heartbeat();
    (void)drainRetired();
    cluster_.heal();
    cluster_.run(3s);
    heartbeat();
    cluster_.run(3s);
    EXPECT_TRUE(drainRetired().contains(1000));
}

// Guards against gateways that start and use a target because more targets left after it than a full report names.
TEST_F(IncarnationTest, TargetsThatLeftAreListedAsLeavingWhateverLeftSince)
{
    constexpr int LaterLeaves = 520;
    reportTo(follower(), 1000, 5);
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath, R"({"started_ms":1000})")), 200);
    for (int i = 0; i < LaterLeaves; ++i) {
        const std::string path = "/v1/targets/other-" + std::to_string(i) + "/leave";
        ASSERT_EQ(statusOf(cluster_.order("POST", path, R"({"started_ms":1000})")), 200);
    }
    const std::string started = "10.0.1.2:7000";
    cluster_.gatewayHeartbeat(follower(), started, "north-a", "north");
    const std::vector<model::Message> sent = cluster_.drainSentTo(started);
    const auto isListedAsLeaving = [](const model::Message& message) {
        const auto* report = std::get_if<model::TargetReport>(&message);
        return report != nullptr && report->targets.size() == 1 && report->targets[0].isLeaving;
    };
    EXPECT_TRUE(std::ranges::any_of(sent, isListedAsLeaving));
}

// Guards against targets that stay unused because they started again while the host was down that knew them before.
TEST_F(IncarnationTest, LeaveWithoutIncarnationWaitsForAHostThatIsDown)
{
    const size_t down = follower();
    reportTo(down, 1000, 5);
    cluster_.run(3s); // The host writes it to its disk.
    cluster_.kill(down);
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    reportTo(*cluster_.leader(), 2000, 1);
    cluster_.run(5s);
    cluster_.start(down, false);
    cluster_.run(5s);
    heartbeat();
    (void)takeLastRecord();
    report(2000, 9);
    ASSERT_TRUE(cluster_.leader());
    const auto later = takeLastRecord();
    ASSERT_TRUE(later);
    EXPECT_EQ(later->incarnation, Incarnation {2000});
    EXPECT_FALSE(later->isLeaving);
    report(2000, 10, "leaving");
    EXPECT_TRUE(takeLastRecord()->isLeaving);
}

// Guards against a target that left, is known to a host that is down, and is used once that host returns: the others
// know an earlier start and resolve the leave to it.
TEST_F(IncarnationTest, LeaveResolvedWhileAHostIsDownAppliesToWhatThatHostKnows)
{
    const size_t down = follower();
    report(1000, 5);
    reportTo(down, 2000, 1);
    cluster_.run(3s); // The host writes it to its disk.
    cluster_.kill(down);
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    cluster_.run(5s);
    (void)takeLastRecord();
    cluster_.start(down, false);
    cluster_.run(5s);
    heartbeat();
    cluster_.run(1s);
    const std::optional<model::TargetRecord> returned = takeLastRecord();
    ASSERT_TRUE(returned);
    EXPECT_EQ(returned->incarnation, Incarnation {2000});
    EXPECT_TRUE(returned->isLeaving);
}

// Guards against targets that stay unused because they left while no registry host knew them.
TEST_F(IncarnationTest, LeaveOfAnUnknownTargetDoesNotApplyToLaterIncarnations)
{
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    cluster_.run(model::TargetHeartbeatTimeout + 5s);
    report(1000, 1);
    EXPECT_FALSE(takeLastRecord()->isLeaving);
    report(1000, 2, "leaving");
    EXPECT_TRUE(takeLastRecord()->isLeaving);
}

// Guards against a leave without an incarnation that applies to none because its target reports to another host only
// after it.
TEST_F(IncarnationTest, LeaveWithoutIncarnationAppliesToTheFirstReportWhereNoneIsKnown)
{
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    reportTo(follower(), 1000, 5);
    for (uint64_t sequence = 6; sequence < 24; ++sequence) {
        cluster_.run(1s);
        heartbeat();
        reportTo(follower(), 1000, sequence);
    }
    EXPECT_EQ(drainRetired(), (std::set<uint64_t> {0, 1000}));
}

TEST_F(IncarnationTest, RetiredIncarnationsSurviveRestartOfAllHosts)
{
    report(1000, 5, "leaving");
    cluster_.run(2500ms);
    for (size_t host = 0; host < Hosts; ++host)
        cluster_.kill(host);
    for (size_t host = 0; host < Hosts; ++host)
        cluster_.start(host, false);
    ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.leader().has_value(); }));
    report(1000, 6);
    const auto record = takeLastRecord();
    EXPECT_TRUE(record && record->isLeaving);
    report(2000, 1);
    EXPECT_FALSE(takeLastRecord()->isLeaving);
}

TEST_F(IncarnationTest, HostWithWipedDiskLearnsRetiredIncarnations)
{
    report(1000, 5, "leaving");
    const size_t wiped = (*cluster_.leader() + 1) % Hosts;
    cluster_.kill(wiped);
    cluster_.wipeDisk(wiped);
    cluster_.start(wiped, false);
    ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.leader() && cluster_.votersAt(*cluster_.leader()) == Hosts; }));
    cluster_.run(3s);
    heartbeat();
    (void)takeLastRecord();
    EXPECT_EQ(statusOf(cluster_.call(wiped, "POST", HeartbeatPath, heartbeatOfStart(1000, 9))), 200);
    cluster_.run(300ms);
    EXPECT_TRUE(takeLastRecord()->isLeaving);
    EXPECT_EQ(statusOf(cluster_.call(wiped, "POST", HeartbeatPath, heartbeatOfStart(2000, 1))), 200);
    cluster_.run(300ms);
    EXPECT_FALSE(takeLastRecord()->isLeaving);
}

namespace {

model::TargetRecord recordOf(const std::string& id, uint64_t incarnation, uint64_t sequence, uint16_t port)
{
    return {.target = TargetId(id),
        .incarnation = {incarnation},
        .service = ServiceName("quotes"),
        .address = {.ip = "10.9.0.1", .port = port},
        .zone = ZoneName("north-a"),
        .slots = 3,
        .sequence = sequence};
}

} // namespace

// Reports of four incarnations of each of three targets in random order, some of them repeated.
TEST(TargetTableTest, LatestIncarnationWinsForAnyReportOrder)
{
    constexpr uint64_t Seeds = 1000;
    for (uint64_t seed = 0; seed < Seeds; ++seed) {
        boost::random::mt19937_64 random(seed);
        TargetTable table({{ZoneName("north-a"), RegionName("north")}});
        std::map<TargetId, Incarnation> latest;
        Timestamp now {100s};
        for (int step = 0; step < 60; ++step) {
            const uint64_t target = random() % 3;
            const uint64_t start = 1 + random() % 4;
            const auto record = recordOf("t-" + std::to_string(target), start * 1000 + target, 1 + random() % 20,
                static_cast<uint16_t>(9000 + target));
            (void)table.applyReport(record, now);
            latest[record.target] = std::max(latest[record.target], record.incarnation);
            now += std::chrono::milliseconds(random() % 50);
            for (const model::TargetRecord& update : table.drainUpdates({}, now))
                ASSERT_EQ(update.incarnation, latest.at(update.target)) << "seed " << seed << " step " << step;
        }
        for (const model::TargetRecord& record : table.all(now))
            ASSERT_EQ(record.incarnation, latest.at(record.target)) << "seed " << seed;
    }
}

TEST(TargetTableTest, AddressIsNotReassignedToOlderIncarnationOfAnotherTarget)
{
    TargetTable table({});
    Timestamp now {100s};
    // The earlier one reported to another host before: this host never knew it.
    EXPECT_EQ(table.applyReport(recordOf("later", 2000, 1, 9000), now), ReportOutcome::Applied);
    EXPECT_EQ(table.applyReport(recordOf("earlier", 1000, 70, 9000), now), ReportOutcome::Stale);
    ASSERT_EQ(table.all(now).size(), 1U);
    EXPECT_EQ(table.all(now).front().target, TargetId("later"));
    // Once the later one is unresponsive, its address is free.
    now += model::TargetHeartbeatTimeout;
    (void)table.drainUpdates({}, now);
    EXPECT_EQ(table.applyReport(recordOf("earlier", 1000, 71, 9000), now), ReportOutcome::Applied);
}

// When the clock steps back between two starts, the second has the lower incarnation: it is accepted only once the
// first is unresponsive.
TEST(TargetTableTest, IncarnationWithEarlierClockIsAcceptedAfterTheFormerTimesOut)
{
    TargetTable table({});
    Timestamp now {100s};
    EXPECT_EQ(table.applyReport(recordOf("t-1", 2000, 9, 9000), now), ReportOutcome::Applied);
    now += 1s;
    EXPECT_EQ(table.applyReport(recordOf("t-1", 1000, 1, 9000), now), ReportOutcome::Stale);
    now += model::TargetHeartbeatTimeout;
    (void)table.drainUpdates({}, now);
    EXPECT_EQ(table.applyReport(recordOf("t-1", 1000, 9, 9000), now), ReportOutcome::Applied);
}

} // namespace saltvane::registry::test
