/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

#include <algorithm>
#include <map>

namespace saltvane::gateway::test {

namespace {

const HostId Self("10.0.0.1:7000");

class TargetTest : public GatewayFixture {
protected:
    /// Sends 50 requests a second and answers those that reach a target. Returns how many did.
    size_t requestsSentWithin(Duration duration)
    {
        constexpr Duration Interval = 20ms;
        size_t sent = 0;
        for (Duration elapsed {}; elapsed < duration; elapsed += Interval) {
            request({.object = std::to_string(++objects_), .deadlineMs = "20000"});
            for (const requests::TargetStart& start : takeStarts()) {
                ++sent;
                answer(start, {});
            }
            advance(Interval);
        }
        return sent;
    }

private:
    int objects_ = 0;
};

} // namespace

TEST_F(TargetTest, RetiredTargetGetsNoRequestsAgain)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    reportTargets({record});
    report({.orders = {.term = {1}, .index = {5}}, .retired = {{.target = TargetId("t-1")}}});
    request({});
    EXPECT_EQ(takeResponse()->status, 503);
    record.sequence = 9;
    reportTargets({record});
    request({});
    EXPECT_EQ(takeResponse()->status, 503);
}

TEST_F(TargetTest, OlderOrdersAreIgnored)
{
    installPlan(1);
    reportTargets({target("t-1")});
    report({.orders = {.term = {1}, .index = {5}}, .evacuatedZones = {ZoneName("north-a")}});
    report({.orders = {.term = {1}, .index = {4}}});
    request({});
    EXPECT_EQ(takeResponse()->status, 503);
}

TEST_F(TargetTest, ReopenedZoneWaitsForReportsOfItsTargets)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    reportTargets({record});
    report({.orders = {.term = {1}, .index = {5}}, .evacuatedZones = {ZoneName("north-a")}});
    report({.orders = {.term = {1}, .index = {6}}});
    request({});
    EXPECT_EQ(takeResponse()->status, 503); // The target may be in slow start now.
    record.sequence = 2;
    record.slowStartHost = Self;
    report({.orders = {.term = {1}, .index = {6}}, .targets = {record}});
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against targets in their slow start that are flooded since a report from before it arrives after their zone
// was reopened and names no slow start.
TEST_F(TargetTest, ReportWithoutASlowStartDoesNotEndTheLimitAfterAReopening)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    reportTargets({record});
    const LogPosition reopening {.term = {1}, .index = {6}};
    report({.orders = reopening, .reopenedZones = {{.zone = ZoneName("north-a"), .position = reopening}}});
    record.sequence = 2;
    record.slowStartHost = Self;
    report({.orders = reopening, .targets = {record}});
    // 4 per second (0.8 of the service's rate of 5), with a burst of one.
    EXPECT_LE(requestsSentWithin(2s), 10U);
    record.sequence = 3;
    record.slowStartHost = HostId("10.0.0.2:7000");
    report({.orders = reopening, .targets = {record}});
    EXPECT_EQ(requestsSentWithin(500ms), 0U) << "another gateway may use it";
    advance(1s); // The slow start that may have begun before the reopening has ended.
    EXPECT_GE(requestsSentWithin(500ms), 20U);
}

// Guards against full use of a reopened zone's targets as soon as a wait for their reports has timed out, and against a
// limit that outlasts the slow start.
TEST_F(TargetTest, TargetsWithoutAReportAreUsedOnceTheSlowStartHasEnded)
{
    installPlan(1);
    reportTargets({target("t-1")});
    const LogPosition reopening {.term = {1}, .index = {6}};
    report({.orders = reopening, .reopenedZones = {{.zone = ZoneName("north-a"), .position = reopening, .age = 1s}}});
    EXPECT_EQ(requestsSentWithin(1900ms), 0U);
    advance(200ms);
    EXPECT_GE(requestsSentWithin(500ms), 20U);
}

// Guards against gateways that learn of an evacuation and its end at once and use targets that may be in a slow start.
TEST_F(TargetTest, ZoneThatWasReopenedUnseenWaitsForReportsOfItsTargets)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    report({.orders = {.term = {1}, .index = {4}}, .targets = {record}});
    const LogPosition reopening {.term = {1}, .index = {6}};
    report({.orders = reopening, .reopenedZones = {{.zone = ZoneName("north-a"), .position = reopening}}});
    request({});
    EXPECT_EQ(takeResponse()->status, 503);
    // From a registry host that does not know of the reopening.
    record.sequence = 2;
    report({.orders = {.term = {1}, .index = {4}}, .targets = {record}});
    request({});
    EXPECT_EQ(takeResponse()->status, 503);
    record.sequence = 3;
    record.slowStartHost = Self;
    report({.orders = reopening, .targets = {record}});
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(TargetTest, SlowStartTargetIsUsedWithinItsRate)
{
    installPlan(1);
    model::TargetRecord own = target("t-1");
    own.slowStartLeft = 3s;
    own.slowStartHost = Self;
    reportTargets({own});
    // 4 per second (0.8 of the service's rate of 5) for two seconds.
    const size_t sent = requestsSentWithin(2s);
    EXPECT_GE(sent, 6U);
    EXPECT_LE(sent, 10U);
}

TEST_F(TargetTest, SlowStartTargetOfAnotherGatewayIsNotUsed)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    record.slowStartLeft = 3s;
    record.slowStartHost = HostId("10.0.0.2:7000");
    reportTargets({record});
    request({});
    EXPECT_EQ(takeResponse()->status, 503);
    advance(3100ms);
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against floods of targets in their slow start that no log shows.
TEST_F(TargetTest, SlowStartOfKnownTargetIsLoggedWithRecentRequests)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    reportTargets({record});
    advance(1s);
    for (int i = 0; i < 3; ++i)
        request({.object = std::to_string(i)});
    EXPECT_EQ(takeStarts().size(), 3U);
    (void)drainLogLines();
    record.sequence = 2;
    record.slowStartLeft = 3s;
    record.slowStartHost = HostId("10.0.0.2:7000");
    reportTargets({record});
    record.sequence = 3;
    reportTargets({record}); // Known by now.
    const std::vector<std::string> lines = drainLogLines();
    EXPECT_EQ(std::ranges::count_if(lines,
                  [](const std::string& line) {
                      return line.find("event=slow_start target=t-1 left_ms=3000 own=no sent=3") != std::string::npos;
                  }),
        1);
}

TEST_F(TargetTest, ObjectStaysAtItsTarget)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2"), target("t-3"), target("t-4", "quotes", "south-a")});
    std::map<std::string, TargetId> targetsByObject;
    for (int round = 0; round < 5; ++round) {
        for (int object = 0; object < 20; ++object) {
            const std::string name = std::to_string(object);
            request({.object = name});
            const auto starts = takeStarts();
            ASSERT_EQ(starts.size(), 1U);
            const auto [known, isFirst] = targetsByObject.emplace(name, starts[0].target);
            EXPECT_EQ(known->second, starts[0].target);
            advance(100ms);
            answer(starts[0], {});
        }
    }
}

TEST_F(TargetTest, FailingTargetIsEjectedAndTriedAgain)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({});
    fail(takeStarts().at(0), false);
    EXPECT_EQ(takeResponse()->status, 503); // Certainly not run.
    request({});
    EXPECT_EQ(takeResponse()->status, 503);
    advance(300ms);
    request({});
    request({.object = "8"});
    const auto trial = takeStarts();
    ASSERT_EQ(trial.size(), 1U); // A single request tests whether the target works again.
    answer(trial[0], {});
    request({.object = "9"});
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(TargetTest, LargeResponsesStayInZone)
{
    installPlan(1);
    reportTargets({target("near", "files", "north-a"), target("b-1", "files", "north-b"),
        target("b-2", "files", "north-b"), target("far", "files", "south-a")});
    for (int i = 0; i < 10; ++i) {
        request({.path = "/file/x", .object = std::to_string(i)});
        const auto starts = takeStarts();
        ASSERT_EQ(starts.size(), 1U);
        EXPECT_EQ(starts[0].target, TargetId("near"));
        advance(50ms);
        answer(starts[0], {});
    }
}

TEST_F(TargetTest, WeightsSplitRoute)
{
    installPlan(1,
        R"(,{"name":"split","host":"prices.example","path_prefix":"/split/","kind":"repeatable","timeout_ms":1500,
            "attempts":1,"split":[{"service":"quotes","weight":3},{"service":"files","weight":1}]})");
    reportTargets({target("t-1"), target("f-1", "files")});
    std::map<TargetId, int> counts;
    for (int i = 0; i < 40; ++i) {
        request({.path = "/split/x", .object = std::to_string(i)});
        const auto starts = takeStarts();
        ASSERT_EQ(starts.size(), 1U);
        ++counts[starts[0].target];
        answer(starts[0], {});
    }
    EXPECT_EQ(counts[TargetId("t-1")], 30);
    EXPECT_EQ(counts[TargetId("f-1")], 10);
}

TEST_F(TargetTest, RoutePermittedRegionsAreObeyed)
{
    installPlan(1,
        R"(,{"name":"home","host":"prices.example","path_prefix":"/home/","kind":"repeatable","timeout_ms":1500,
            "attempts":1,"service":"quotes","permitted_regions":["south"]})");
    reportTargets({target("t-1")});
    request({.path = "/home/x"});
    EXPECT_EQ(takeResponse()->status, 503);
    reportTargets({target("t-2", "quotes", "south-a")});
    request({.path = "/home/x"});
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, TargetId("t-2"));
}

TEST_F(TargetTest, RecalledTargetDoesNotTakeAddressOfReportedTarget)
{
    installPlan(1);
    model::TargetRecord living = target("new");
    model::TargetRecord recalled = target("old");
    recalled.isRecalled = true;
    recalled.address = living.address;
    reportTargets({living});
    reportTargets({recalled});
    request({});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, TargetId("new"));
}

TEST_F(TargetTest, RecalledTargetIsUsedUntilSuccessorReports)
{
    installPlan(1);
    model::TargetRecord recalled = target("old");
    recalled.isRecalled = true;
    reportTargets({recalled});
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
    model::TargetRecord living = target("new");
    living.address = recalled.address;
    reportTargets({living});
    request({});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, TargetId("new"));
}

// Guards against treating refusals as a full queue: targets refuse half of their requests although slots are free and
// their health is good. Considered full, each of them got no requests for a second, and requests that they would have
// run were refused.
TEST_F(TargetTest, RefusalWithFreeSlotsDoesNotMarkTargetFull)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({.id = "refused"});
    const std::vector<requests::TargetStart> first = takeStarts();
    ASSERT_EQ(first.size(), 1U);
    answer(first[0],
        {.status = 503,
            .id = "refused",
            .extraHeaders = {{.name = "Saltvane-Not-Run", .value = "1"}, {.name = "Saltvane-Load", .value = "0,0,3"}}});
    request({.id = "next"});
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(TargetTest, UnresponsiveTargetIsNotUsedUntilItReportsAgain)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    record.sequence = 4;
    reportTargets({record});
    model::TargetRecord older = record;
    older.sequence = 3;
    older.age = model::TargetHeartbeatTimeout;
    reportTargets({older}); // From a registry host to which the target no longer reports.
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
    record.age = model::TargetHeartbeatTimeout;
    reportTargets({record});
    request({});
    EXPECT_TRUE(takeStarts().empty());
    record.sequence = 5;
    record.age = {};
    reportTargets({record});
    request({});
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(TargetTest, AddressIsNotReturnedToPreviousTarget)
{
    installPlan(1);
    model::TargetRecord before = target("old");
    before.sequence = 5;
    reportTargets({before});
    model::TargetRecord now = target("new");
    now.address = before.address;
    reportTargets({now});
    before.sequence = 6;
    reportTargets({before}); // A delayed report.
    request({});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, TargetId("new"));
}

// Guards against a gateway that doesn't use a target until the registry repeats its record, after 10 minutes: a
// registry host that has not heard of the target lists the one that had its address before, which stopped.
TEST_F(TargetTest, TargetIsUsedAgainOnceTheOneThatDisplacedItTurnsOutToHaveStopped)
{
    installPlan(1);
    const model::TargetRecord living = target("new");
    model::TargetRecord stopped = target("old");
    stopped.address = living.address;
    stopped.age = 2s;
    reportTargets({living});
    reportTargets({stopped});
    request({});
    std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    answer(starts[0], {.status = 421}); // Another target has the address.
    (void)takeResponse();
    (void)takeStarts();
    request({});
    starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, TargetId("new"));
    reportTargets({stopped}); // Again, by another registry host.
    request({});
    starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, TargetId("new"));
}

// Guards against a target that is brought back although it stopped long ago.
TEST_F(TargetTest, DisplacedTargetIsNotUsedAgainLater)
{
    installPlan(1);
    const model::TargetRecord before = target("old");
    model::TargetRecord now = target("new");
    now.address = before.address;
    reportTargets({before});
    reportTargets({now});
    advance(25s);
    ++now.sequence;
    reportTargets({now});
    request({});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    answer(starts[0], {.status = 421});
    (void)takeResponse();
    EXPECT_TRUE(takeStarts().empty());
    request({});
    EXPECT_TRUE(takeStarts().empty());
}

/// Guards against a gateway that drops targets whose records the registry doesn't repeat.
TEST_F(TargetTest, TargetsListedAsUnchangedAreKept)
{
    installPlan(1);
    const model::TargetRecord kept = target("t-kept");
    reportTargets({kept, target("t-unlisted")});
    const uint64_t hash = model::incarnationHash({.target = kept.target, .incarnation = kept.incarnation});
    for (int round = 0; round < 5; ++round) {
        advance(30s);
        report({.unchanged = {hash, 12345}});
    }
    answerPull();
    request({});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].target, kept.target);
}

} // namespace saltvane::gateway::test
