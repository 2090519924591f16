/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targettable.h"

#include <gtest/gtest.h>

namespace saltvane::registry::test {

namespace {

const ZoneName Zone("north-a");

class TargetTableChangesTest : public testing::Test {
protected:
    model::TargetRecord recordOf(const std::string& id, uint16_t port)
    {
        return {.target = TargetId(id),
            .service = ServiceName("quotes"),
            .address = {.ip = "10.9.0.1", .port = port},
            .zone = Zone,
            .slots = 3,
            .sequence = ++sequence_};
    }
    /// Whether `change` changed a record that is recalled after a restart.
    template <typename Change> bool changes(const Change& change)
    {
        const uint64_t before = table_.changes();
        now_ += 1s;
        change();
        return table_.changes() != before;
    }

    TargetTableChangesTest() { table_.setLongestSlowStart(LongestSlowStart); }

    static constexpr Duration LongestSlowStart = 4s;
    Timestamp now_ {100s};
    uint64_t sequence_ = 0;
    TargetTable table_ {{{Zone, RegionName("north")}}};
};

} // namespace

TEST_F(TargetTableChangesTest, UnchangedReportsDoNotChangeRecallableRecords)
{
    EXPECT_TRUE(changes([this] { (void)table_.applyReport(recordOf("t-1", 1), now_); }));
    EXPECT_FALSE(changes([this] { (void)table_.applyReport(recordOf("t-1", 1), now_); }));
    EXPECT_FALSE(changes([this] { (void)table_.drainUpdates({}, now_); }));
}

TEST_F(TargetTableChangesTest, ChangesOfRecallableRecordsAreCounted)
{
    (void)table_.applyReport(recordOf("t-1", 1), now_);
    EXPECT_TRUE(changes([this] { (void)table_.applyReport(recordOf("t-2", 2), now_); }));
    EXPECT_TRUE(changes([this] { (void)table_.applyReport(recordOf("t-2", 3), now_); })) << "another address";
    EXPECT_TRUE(changes([this] { table_.onReopened(Zone, now_); }));
    EXPECT_TRUE(changes([this] { (void)table_.applyReport(recordOf("t-1", 1), now_); })) << "a report that was awaited";
    model::TargetRecord slow = recordOf("t-1", 1);
    slow.slowStartLeft = 3s;
    EXPECT_TRUE(changes([&] { (void)table_.applyReport(slow, now_); }));
    model::TargetRecord leaving = recordOf("t-1", 1);
    leaving.isLeaving = true;
    EXPECT_TRUE(changes([&] { (void)table_.applyReport(leaving, now_); }));
    EXPECT_TRUE(changes([this] { table_.retire({.target = TargetId("t-2")}); }));
    now_ += model::TargetHeartbeatTimeout;
    EXPECT_TRUE(changes([this] { (void)table_.drainUpdates({}, now_); })) << "a target that became unresponsive";
}

// Guards against gateways that connect after a zone was reopened and use targets that may be in a slow start.
TEST_F(TargetTableChangesTest, TargetsOfAReopenedZoneAreListedAsSlowUntilTheyReport)
{
    (void)table_.applyReport(recordOf("t-1", 1), now_);
    now_ += 1s;
    table_.onReopened(Zone, now_);
    now_ += 500ms;
    const model::TargetRecord awaited = table_.all(now_).at(0);
    EXPECT_EQ(awaited.slowStartLeft - awaited.age, LongestSlowStart - 500ms);
    EXPECT_TRUE(awaited.slowStartHost.isEmpty());
    (void)table_.applyReport(recordOf("t-1", 1), now_);
    EXPECT_EQ(table_.all(now_).at(0).slowStartLeft, 0s);
}

// Guards against targets that no gateway may use because a late report names no slow start, and so no gateway for it.
TEST_F(TargetTableChangesTest, GatewayIsNamedForTargetsOfARecentlyReopenedZone)
{
    const std::vector<HostLocation> gateways {{.host = HostId("g-1"), .zone = Zone, .region = RegionName("north")}};
    table_.onReopened(Zone, now_);
    now_ += 100ms;
    (void)table_.applyReport(recordOf("t-1", 1), now_);
    EXPECT_EQ(table_.drainUpdates(gateways, now_).at(0).slowStartHost, HostId("g-1"));
    now_ += 1s;
    (void)table_.applyReport(recordOf("t-1", 1), now_);
    EXPECT_EQ(table_.drainUpdates(gateways, now_).size(), 1U) << "the named gateway may have gone";
    EXPECT_TRUE(table_.recallable({}, now_).empty());
    now_ += LongestSlowStart;
    EXPECT_FALSE(table_.recentReopeningAge(Zone, now_));
    EXPECT_EQ(table_.recallable({}, now_).size(), 1U);
    EXPECT_TRUE(table_.all(now_).at(0).slowStartHost.isEmpty());
}

// Guards against floods of targets that enter a slow start by themselves, when reports of theirs from before arrive.
TEST_F(TargetTableChangesTest, SlowStartThatAGatewayFoundIsSentUntilItsEnd)
{
    const std::vector<HostLocation> gateways {{.host = HostId("g-1"), .zone = Zone, .region = RegionName("north")}};
    model::TargetRecord found = recordOf("t-1", 1);
    (void)table_.applyReport(found, now_);
    (void)table_.drainUpdates(gateways, now_);
    found.slowStartLeft = 3s;
    now_ += 500ms;
    EXPECT_TRUE(changes([&] { EXPECT_TRUE(table_.startSlowStart(found, now_)); }));
    const model::TargetRecord sent = table_.drainUpdates(gateways, now_).at(0);
    EXPECT_EQ(sent.slowStartLeft - sent.age, 3s);
    EXPECT_TRUE(sent.slowStartHost.isEmpty()) << "all gateways used it within the last second";
    EXPECT_EQ(table_.recallable({}, now_).at(0).slowStartLeft, 3s);
    EXPECT_FALSE(table_.startSlowStart(found, now_)) << "it is known";
    now_ += 1s;
    (void)table_.applyReport(recordOf("t-1", 1), now_);
    const std::vector<model::TargetRecord> later = table_.drainUpdates(gateways, now_);
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0].slowStartLeft - later[0].age, 2s);
    EXPECT_EQ(later[0].slowStartHost, HostId("g-1"));
    now_ += 2s;
    EXPECT_TRUE(table_.all(now_).at(0).slowStartHost.isEmpty());
}

TEST_F(TargetTableChangesTest, SlowStartOfAnotherIncarnationIsIgnored)
{
    model::TargetRecord record = recordOf("t-1", 1);
    record.incarnation = {5};
    (void)table_.applyReport(record, now_);
    record.incarnation = {4};
    record.slowStartLeft = 3s;
    EXPECT_FALSE(table_.startSlowStart(record, now_));
    record.target = TargetId("unknown");
    EXPECT_FALSE(table_.startSlowStart(record, now_));
}

// Guards against two gateways that both use a target in its slow start: one that was named for it, and one that
// connects later and is told of itself.
TEST_F(TargetTableChangesTest, FullReportsNameTheGatewayThatWasNamedBefore)
{
    const HostLocation distant {.host = HostId("g-1"), .zone = ZoneName("south-a"), .region = RegionName("south")};
    const HostLocation near {.host = HostId("g-2"), .zone = Zone, .region = RegionName("north")};
    model::TargetRecord record = recordOf("t-1", 1);
    record.slowStartLeft = 3s;
    (void)table_.applyReport(record, now_);
    EXPECT_EQ(table_.drainUpdates({{distant}}, now_).at(0).slowStartHost, distant.host);
    EXPECT_EQ(table_.all(now_).at(0).slowStartHost, distant.host) << "whoever has connected since";
    ++record.sequence;
    (void)table_.applyReport(record, now_);
    EXPECT_EQ(table_.drainUpdates({{distant, near}}, now_).at(0).slowStartHost, near.host);
    EXPECT_EQ(table_.all(now_).at(0).slowStartHost, near.host);
}

} // namespace saltvane::registry::test
