/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targettable.h"

#include <gtest/gtest.h>

/// Targets that start again under their id without stating their incarnation, and count their reports from the
/// beginning.
namespace saltvane::registry::test {

namespace {

const ZoneName Zone("north-a");

class RestartedTargetTest : public testing::Test {
protected:
    RestartedTargetTest()
    {
        table_.setLongestSlowStart(SlowStart);
        for (uint64_t sequence = 1; sequence <= LastOfFormer; ++sequence)
            EXPECT_EQ(report(recordOf(sequence)), ReportOutcome::Applied);
    }
    static model::TargetRecord recordOf(uint64_t sequence, Duration slowStartLeft = {})
    {
        return {.target = TargetId("t-1"),
            .service = ServiceName("quotes"),
            .address = {.ip = "10.9.0.1", .port = 9000},
            .zone = Zone,
            .slots = 3,
            .slowStartLeft = slowStartLeft,
            .sequence = sequence};
    }
    ReportOutcome report(const model::TargetRecord& record)
    {
        now_ += Interval;
        return table_.applyReport(record, now_);
    }
    /// Time left of the slow start that gateways are told of; no value where they are told nothing.
    std::optional<Duration> sentSlowStartLeft()
    {
        const std::vector<model::TargetRecord> updates = table_.drainUpdates({}, now_);
        if (updates.empty())
            return std::nullopt;
        return updates.back().slowStartLeft - updates.back().age;
    }
    [[nodiscard]] model::TargetRecord known() const { return table_.all(now_).at(0); }

    static constexpr Duration Interval = 500ms;
    static constexpr Duration SlowStart = 3s;
    static constexpr uint64_t LastOfFormer = 20;
    Timestamp now_ {100s};
    TargetTable table_ {{{Zone, RegionName("north")}}};
};

} // namespace

// Guards against floods of a restarted target whose reports are taken for late ones, because their sequence is lower.
TEST_F(RestartedTargetTest, SlowStartOfTheNewStartIsSentAtOnce)
{
    (void)sentSlowStartLeft();
    EXPECT_EQ(report(recordOf(1, SlowStart)), ReportOutcome::Deferred);
    EXPECT_EQ(sentSlowStartLeft(), SlowStart);
}

// Guards against a restarted target that is used by what its former start reported, until it has sent as many reports.
TEST_F(RestartedTargetTest, NewStartIsKnownFromItsSecondReport)
{
    model::TargetRecord record = recordOf(1, SlowStart);
    record.slots = 9;
    record.address.port = 9001;
    (void)report(record);
    record.sequence = 2;
    record.slowStartLeft = SlowStart - Interval;
    EXPECT_EQ(report(record), ReportOutcome::Restarted);
    EXPECT_EQ(known().slots, 9U);
    EXPECT_EQ(known().address, record.address);
    EXPECT_EQ(sentSlowStartLeft(), SlowStart - Interval);
    record.sequence = 3;
    record.slowStartLeft = {};
    EXPECT_EQ(report(record), ReportOutcome::Applied);
}

// Guards against floods of a restarted target when a late report of its former start arrives, in any place.
TEST_F(RestartedTargetTest, LateReportsOfTheFormerStartDoNotEndTheSlowStart)
{
    for (const uint64_t late : {LastOfFormer - 1, LastOfFormer, LastOfFormer + 1, LastOfFormer + 2}) {
        for (const uint64_t reportsBefore : {1U, 2U}) {
            TargetTable table({{Zone, RegionName("north")}});
            Timestamp now {100s};
            (void)table.applyReport(recordOf(LastOfFormer), now);
            for (uint64_t sequence = 1; sequence <= reportsBefore; ++sequence) {
                now += Interval;
                (void)table.applyReport(recordOf(sequence, SlowStart - Interval * sequence), now);
            }
            now += 100ms;
            (void)table.applyReport(recordOf(late), now);
            const model::TargetRecord sent = table.all(now).at(0);
            EXPECT_GE(sent.slowStartLeft - sent.age, SlowStart - Interval * reportsBefore - 100ms) << late;
        }
    }
}

// Guards against late reports of the former start that replace what the new start reports.
TEST_F(RestartedTargetTest, LateReportsOfTheFormerStartAreDeferred)
{
    model::TargetRecord record = recordOf(1);
    record.slots = 9;
    (void)report(record);
    record.sequence = 2;
    (void)report(record);
    for (const uint64_t late : {LastOfFormer - 2, LastOfFormer, LastOfFormer + 1}) {
        EXPECT_EQ(report(recordOf(late)), ReportOutcome::Deferred);
        ++record.sequence;
        EXPECT_EQ(report(record), ReportOutcome::Applied);
        EXPECT_EQ(known().slots, 9U);
    }
}

// Guards against a late report that is taken for a restart.
TEST_F(RestartedTargetTest, SingleLateReportChangesNothing)
{
    (void)sentSlowStartLeft();
    model::TargetRecord late = recordOf(LastOfFormer - 1);
    late.slots = 9;
    EXPECT_EQ(report(late), ReportOutcome::Deferred);
    EXPECT_EQ(known().slots, 3U);
    EXPECT_FALSE(sentSlowStartLeft());
    EXPECT_EQ(report(recordOf(LastOfFormer + 1)), ReportOutcome::Applied);
}

// Guards against late reports that arrive together and keep later ones of the same start from being applied.
TEST_F(RestartedTargetTest, ReportsAfterSeveralLateOnesAreApplied)
{
    for (const uint64_t late : {LastOfFormer - 3, LastOfFormer - 2, LastOfFormer - 1})
        (void)report(recordOf(late));
    model::TargetRecord next = recordOf(LastOfFormer + 1);
    next.slots = 9;
    EXPECT_EQ(report(next), ReportOutcome::Applied);
    EXPECT_EQ(known().slots, 9U);
}

// Guards against floods of a target that starts again for the second time before its first restart is known.
TEST_F(RestartedTargetTest, SecondRestartIsKnownAsTheFirst)
{
    (void)report(recordOf(1, SlowStart));
    EXPECT_EQ(report(recordOf(1, SlowStart)), ReportOutcome::Deferred);
    EXPECT_EQ(sentSlowStartLeft(), SlowStart);
    EXPECT_EQ(report(recordOf(2, SlowStart - Interval)), ReportOutcome::Restarted);
    EXPECT_EQ(report(recordOf(1, SlowStart)), ReportOutcome::Deferred);
    EXPECT_EQ(sentSlowStartLeft(), SlowStart);
}

// Guards against restarts that go unseen while the target reports to other registry hosts in between.
TEST_F(RestartedTargetTest, NewStartIsKnownFromReportsThatAreNotConsecutive)
{
    (void)report(recordOf(2, SlowStart));
    EXPECT_EQ(report(recordOf(5)), ReportOutcome::Restarted);
    EXPECT_EQ(report(recordOf(12)), ReportOutcome::Applied);
}

// Guards against floods of a target that has stopped and starts again before it reports: gateways that did not notice
// are told that a start is expected.
TEST_F(RestartedTargetTest, StoppedTargetIsListedAsInASlowStartUntilItReports)
{
    const std::vector<HostLocation> gateways {{.host = HostId("g-1"), .zone = Zone, .region = RegionName("north")}};
    (void)table_.drainUpdates(gateways, now_);
    EXPECT_TRUE(table_.expectStart(recordOf(LastOfFormer), now_));
    EXPECT_FALSE(table_.expectStart(recordOf(LastOfFormer), now_)) << "it is known";
    std::vector<model::TargetRecord> sent = table_.drainUpdates(gateways, now_);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_TRUE(sent[0].isStartExpected);
    EXPECT_TRUE(sent[0].slowStartHost.isEmpty());
    EXPECT_TRUE(table_.recallable({}, now_).empty());
    now_ += 2s;
    (void)report(recordOf(1, SlowStart));
    sent = table_.drainUpdates(gateways, now_);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_FALSE(sent[0].isStartExpected);
    EXPECT_EQ(sent[0].slowStartLeft - sent[0].age, SlowStart);
    EXPECT_EQ(sent[0].slowStartHost, HostId("g-1"));
}

// Guards against floods after a late report of a stopped target, which names no slow start.
TEST_F(RestartedTargetTest, LateReportDoesNotEndTheExpectationOfAStart)
{
    (void)table_.expectStart(recordOf(LastOfFormer), now_);
    (void)report(recordOf(LastOfFormer + 1));
    EXPECT_TRUE(known().isStartExpected);
    (void)report(recordOf(LastOfFormer - 1));
    EXPECT_TRUE(known().isStartExpected);
}

// Guards against a target that stays limited although it never stopped: a gateway was refused for another reason.
TEST_F(RestartedTargetTest, ReportsEndTheExpectationOfAStartAfterTheLengthOfASlowStart)
{
    (void)table_.expectStart(recordOf(LastOfFormer), now_);
    now_ += SlowStart;
    (void)report(recordOf(LastOfFormer + 1));
    EXPECT_FALSE(known().isStartExpected);
    EXPECT_TRUE(sentSlowStartLeft());
}

// Guards against an expectation for a target that left or moved, or for another incarnation.
TEST_F(RestartedTargetTest, NoStartIsExpectedOfTargetsThatLeftOrMoved)
{
    model::TargetRecord other = recordOf(LastOfFormer);
    other.incarnation = {5};
    EXPECT_FALSE(table_.expectStart(other, now_));
    other = recordOf(LastOfFormer);
    other.address.port = 9001;
    EXPECT_FALSE(table_.expectStart(other, now_)) << "it has moved";
    table_.retire({.target = TargetId("t-1")});
    EXPECT_FALSE(table_.expectStart(recordOf(LastOfFormer), now_));
}

// Guards against floods where the host to which a stopped target reports did not know it when it was refused.
TEST_F(RestartedTargetTest, RefusalOfAnUnknownTargetCountsOnceItReports)
{
    TargetTable table({{Zone, RegionName("north")}});
    table.setLongestSlowStart(SlowStart);
    EXPECT_TRUE(table.expectStart(recordOf(LastOfFormer), now_));
    EXPECT_FALSE(table.expectStart(recordOf(LastOfFormer), now_)) << "it is known";
    now_ += Interval;
    (void)table.applyReport(recordOf(LastOfFormer + 1), now_); // Late.
    EXPECT_TRUE(table.all(now_).at(0).isStartExpected);
}

// Guards against floods where a host that knew nothing of the target hears the new start first, and then a late report
// of the former one.
TEST_F(RestartedTargetTest, LateReportDoesNotEndTheSlowStartAtAHostThatHearsTheNewStartFirst)
{
    TargetTable table({{Zone, RegionName("north")}});
    (void)table.applyReport(recordOf(1, SlowStart), now_);
    now_ += 100ms;
    (void)table.applyReport(recordOf(LastOfFormer), now_);
    const model::TargetRecord sent = table.all(now_).at(0);
    EXPECT_EQ(sent.slowStartLeft - sent.age, SlowStart - 100ms);
}

// Guards against floods of a target that starts again while a slow start of its former start is known.
TEST_F(RestartedTargetTest, LaterSlowStartThatAGatewayFoundCounts)
{
    model::TargetRecord found = recordOf(LastOfFormer, SlowStart);
    EXPECT_TRUE(table_.startSlowStart(found, now_));
    now_ += 2s;
    EXPECT_TRUE(table_.startSlowStart(found, now_));
    EXPECT_EQ(sentSlowStartLeft(), SlowStart);
}

// A target that states its incarnation is told apart by it: a lower sequence is always late.
TEST_F(RestartedTargetTest, ReportsWithAnIncarnationAreNotDeferred)
{
    model::TargetRecord record = recordOf(9);
    record.incarnation = {1000};
    EXPECT_EQ(report(record), ReportOutcome::Applied);
    record.sequence = 8;
    record.slowStartLeft = SlowStart;
    EXPECT_EQ(report(record), ReportOutcome::Stale);
    record.sequence = 7;
    EXPECT_EQ(report(record), ReportOutcome::Stale);
    EXPECT_EQ(known().slowStartLeft, 0s);
}

} // namespace saltvane::registry::test
