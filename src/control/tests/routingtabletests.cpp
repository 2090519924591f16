/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/routingtable.h"

#include <gtest/gtest.h>

namespace saltvane::control {

namespace {

LogPosition at(uint64_t index) { return {.term = {1}, .index = {index}}; }

} // namespace

TEST(RoutingTableTest, SnapshotContainsTheCompleteState)
{
    RoutingTable table;
    EXPECT_TRUE(table.apply(ReplacePlan {.version = {3}, .content = "three"}, at(1)));
    EXPECT_TRUE(table.apply(ReplacePlan {.base = {3}, .version = {5}, .content = "five"}, at(2)));
    EXPECT_TRUE(table.apply(SetEvacuation {.zone = ZoneName("a"), .isEvacuated = true}, at(3)));
    EXPECT_TRUE(table.apply(RetireTarget {.target = TargetId("t")}, at(4)));
    const std::optional<RoutingTable> copy = RoutingTable::fromJson(table.toJson());
    ASSERT_TRUE(copy);
    EXPECT_EQ(copy->toJson(), table.toJson());
    EXPECT_EQ(copy->state().planContent, "five");
    EXPECT_EQ(copy->state().ordersPosition, at(4));
    // Resends are still recognized after the snapshot is restored.
    const auto resend = copy->answerFor(ReplacePlan {.version = {3}, .content = "three"});
    EXPECT_TRUE(resend && resend->isOk());
}

// Guards against hosts that recover from a snapshot and don't know that targets may be in a slow start.
TEST(RoutingTableTest, SnapshotContainsWhenZonesWereReopened)
{
    const ZoneName zone("a");
    RoutingTable table;
    EXPECT_TRUE(table.apply(SetEvacuation {.zone = zone, .isEvacuated = true}, at(3)));
    EXPECT_TRUE(table.state().reopenedZones.empty());
    EXPECT_TRUE(table.apply(SetEvacuation {.zone = zone, .isEvacuated = false}, at(4)));
    const std::optional<RoutingTable> copy = RoutingTable::fromJson(table.toJson());
    ASSERT_TRUE(copy);
    EXPECT_EQ(copy->state().reopenedZones, (std::map<ZoneName, LogPosition> {{zone, at(4)}}));
    EXPECT_TRUE(table.apply(SetEvacuation {.zone = zone, .isEvacuated = true}, at(5)));
    EXPECT_TRUE(table.state().reopenedZones.empty());
    nlohmann::json invalid = copy->toJson();
    invalid["reopened"][0].erase("index");
    EXPECT_FALSE(RoutingTable::fromJson(invalid));
}

TEST(RoutingTableTest, OtherContentOfAnAcceptedVersionIsAConflict)
{
    RoutingTable table;
    EXPECT_TRUE(table.apply(ReplacePlan {.version = {3}, .content = "three"}, at(1)));
    const BundleOutcome other = table.apply(ReplacePlan {.version = {3}, .content = "other"}, at(2));
    ASSERT_FALSE(other);
    EXPECT_EQ(other.error().kind, ControlErrorKind::Conflict);
    const BundleOutcome older = table.apply(ReplacePlan {.base = {3}, .version = {2}, .content = "two"}, at(3));
    ASSERT_FALSE(older);
    EXPECT_EQ(older.error().kind, ControlErrorKind::Invalid);
    EXPECT_EQ(table.state().planPosition, at(1));
}

TEST(RoutingTableTest, RetirementAppliesToItsIncarnationAndEarlierOnes)
{
    RoutingTable table;
    EXPECT_TRUE(table.apply(RetireTarget {.target = TargetId("t"), .incarnation = {20}}, at(1)));
    EXPECT_TRUE(table.answerFor(RetireTarget {.target = TargetId("t"), .incarnation = {20}}));
    EXPECT_TRUE(table.answerFor(RetireTarget {.target = TargetId("t"), .incarnation = {10}}));
    EXPECT_FALSE(table.answerFor(RetireTarget {.target = TargetId("t"), .incarnation = {30}}));
    EXPECT_TRUE(table.apply(RetireTarget {.target = TargetId("t"), .incarnation = {30}}, at(2)));
    EXPECT_EQ(table.state().ordersPosition, at(2));
}

namespace {

StartRollout rolloutOf(const char* version, const char* service = "quotes")
{
    return {.service = ServiceName(service), .version = model::TargetVersion(version), .timeLimit = 12s};
}

AdvanceRollout phaseOf(const char* version, model::RolloutPhase phase)
{
    return {.service = ServiceName("quotes"),
        .version = model::TargetVersion(version),
        .phase = phase,
        .otherVersions = {model::TargetVersion("v1")}};
}

} // namespace

TEST(RoutingTableTest, RolloutAdvancesToItsEnd)
{
    using enum model::RolloutPhase;
    RoutingTable table;
    EXPECT_TRUE(table.apply(rolloutOf("v2"), at(1)));
    const model::RolloutOrder& order = table.state().rollouts.at(ServiceName("quotes"));
    EXPECT_EQ(order.phase, Trial);
    EXPECT_TRUE(table.apply(phaseOf("v2", Switching), at(2)));
    EXPECT_TRUE(table.apply(phaseOf("v2", Trial), at(3)));
    EXPECT_EQ(order.phase, Switching);
    EXPECT_TRUE(table.apply(phaseOf("v2", Completed), at(4)));
    EXPECT_EQ(order.excluded, std::vector {model::TargetVersion("v1")});
    // A rollout that has ended stays as it is.
    EXPECT_TRUE(table.apply(phaseOf("v2", RolledBack), at(5)));
    EXPECT_EQ(order.phase, Completed);
    EXPECT_EQ(table.state().ordersPosition, at(4));
}

TEST(RoutingTableTest, RepeatedRolloutOrderIsAcknowledgedInEveryPhase)
{
    RoutingTable table;
    EXPECT_TRUE(table.apply(rolloutOf("v2"), at(1)));
    EXPECT_TRUE(table.answerFor(rolloutOf("v2")).value());
    EXPECT_TRUE(table.apply(phaseOf("v2", model::RolloutPhase::RolledBack), at(2)));
    EXPECT_TRUE(table.answerFor(rolloutOf("v2")).value());
    EXPECT_EQ(table.state().rollouts.at(ServiceName("quotes")).phase, model::RolloutPhase::RolledBack);
}

TEST(RoutingTableTest, OnlyOneRolloutOfAServiceIsUnderWay)
{
    RoutingTable table;
    EXPECT_TRUE(table.apply(rolloutOf("v2"), at(1)));
    const BundleOutcome second = table.apply(rolloutOf("v3"), at(2));
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().kind, ControlErrorKind::UnderWay);
    EXPECT_TRUE(table.apply(rolloutOf("v3", "files"), at(3)));
    EXPECT_TRUE(table.apply(phaseOf("v2", model::RolloutPhase::RolledBack), at(4)));
    EXPECT_TRUE(table.apply(rolloutOf("v3"), at(5)));
    // The version that was rolled back stays excluded until it is rolled out again.
    const model::RolloutOrder& order = table.state().rollouts.at(ServiceName("quotes"));
    EXPECT_EQ(order.excluded, std::vector {model::TargetVersion("v2")});
    EXPECT_TRUE(table.apply(phaseOf("v3", model::RolloutPhase::RolledBack), at(6)));
    EXPECT_TRUE(table.apply(rolloutOf("v2"), at(7)));
    EXPECT_EQ(order.excluded, std::vector {model::TargetVersion("v3")});
}

TEST(RoutingTableTest, SnapshotContainsRollouts)
{
    RoutingTable table;
    EXPECT_TRUE(table.apply(rolloutOf("v2"), at(1)));
    EXPECT_TRUE(table.apply(phaseOf("v2", model::RolloutPhase::Completed), at(2)));
    const std::optional<RoutingTable> copy = RoutingTable::fromJson(table.toJson());
    ASSERT_TRUE(copy);
    EXPECT_EQ(copy->state().rollouts, table.state().rollouts);
    nlohmann::json earlier = table.toJson();
    earlier.erase("retirements");
    EXPECT_TRUE(RoutingTable::fromJson(earlier, RoutingFormat::WithReopenedZones));
    earlier.erase("reopened");
    EXPECT_TRUE(RoutingTable::fromJson(earlier, RoutingFormat::WithRollouts));
    earlier.erase("rollouts");
    EXPECT_TRUE(RoutingTable::fromJson(earlier, RoutingFormat::WithoutRollouts));
    EXPECT_FALSE(RoutingTable::fromJson(earlier));
    nlohmann::json invalid = table.toJson();
    invalid["rollouts"][0]["phase"] = 4;
    EXPECT_FALSE(RoutingTable::fromJson(invalid));
}

TEST(RoutingTableTest, SnapshotsOfEarlierVersionsAreReadable)
{
    RoutingTable table;
    EXPECT_TRUE(table.apply(RetireTarget {.target = TargetId("t"), .incarnation = {20}}, at(1)));
    nlohmann::json written = table.toJson();
    written["retired"] = {"t", "u"};
    const std::optional<RoutingTable> read = RoutingTable::fromJson(written);
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->answerFor(RetireTarget {.target = TargetId("u")}));
    EXPECT_FALSE(read->answerFor(RetireTarget {.target = TargetId("u"), .incarnation = {1}}));
}

// Guards against targets that left by an order without an incarnation and are used again after an upgrade.
TEST(RoutingTableTest, OrdersWithoutIncarnationInEarlierSnapshotsAreUnresolved)
{
    nlohmann::json earlier = RoutingTable().toJson();
    earlier.erase("retirements");
    earlier["retired"] = nlohmann::json::array({"t", nlohmann::json::object({{"target", "u"}, {"incarnation", 0U}})});
    std::optional<RoutingTable> read = RoutingTable::fromJson(earlier, RoutingFormat::WithReopenedZones);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->state().retirements, 2U);
    for (const char* const target : {"t", "u"}) {
        const model::TargetIncarnation reported {.target = TargetId(target), .incarnation = {1'700'000'000'000}};
        EXPECT_TRUE(read->state().retiredTargets.blocks(reported)) << target;
        EXPECT_TRUE(read->apply(RetireTarget {.target = TargetId(target), .incarnation = {20}}, at(9)));
        EXPECT_FALSE(read->state().retiredTargets.blocks(reported)) << target;
    }
    EXPECT_EQ(read->state().retirements, 4U);
}

TEST(RoutingTableTest, OldestRetirementsAreRemovedFirst)
{
    RoutingTable table;
    constexpr size_t ExcessTargets = 10;
    for (size_t i = 0; i < RoutingState::MaxRetiredTargets + ExcessTargets; ++i)
        EXPECT_TRUE(table.apply(RetireTarget {.target = TargetId("t" + std::to_string(i))}, at(i + 1)));
    EXPECT_EQ(table.state().retiredTargets.inOrder().size(), RoutingState::MaxRetiredTargets);
    EXPECT_FALSE(table.answerFor(RetireTarget {.target = TargetId("t0")}));
    EXPECT_TRUE(table.answerFor(RetireTarget {.target = TargetId("t" + std::to_string(ExcessTargets))}));
}

TEST(RoutingTableTest, IncompleteOrInvalidSnapshotsAreRejected)
{
    const nlohmann::json complete = RoutingTable().toJson();
    for (const auto& [key, value] : complete.items()) {
        nlohmann::json incomplete = complete;
        incomplete.erase(key);
        EXPECT_FALSE(RoutingTable::fromJson(incomplete)) << key;
    }
    nlohmann::json invalid = complete;
    invalid["retired"] = {1, 2};
    EXPECT_FALSE(RoutingTable::fromJson(invalid));
}

} // namespace saltvane::control
