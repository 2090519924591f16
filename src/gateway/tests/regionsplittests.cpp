/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/regionsplit.h"

#include <gtest/gtest.h>

namespace saltvane::gateway::test {

namespace {

const ServiceName Quotes {"quotes"};
constexpr Timestamp Now {100s};

model::RoutePlan planWith(std::vector<Duration> objectives)
{
    model::RoutePlan plan {.version = {1}, .services = {{.name = Quotes}, {.name = ServiceName("files")}}};
    for (const Duration objective : objectives)
        plan.routes.push_back(
            model::makeRoute({.objective = objective, .services = {{.service = Quotes, .weight = 1}}}));
    return plan;
}

/// Eight targets in each of two regions.
class RegionSplitTest : public testing::Test {
protected:
    RegionSplitTest()
    {
        model::TargetReport report;
        for (uint16_t i = 0; i < 16; ++i)
            report.targets.push_back({.target = TargetId("t-" + std::to_string(i)),
                .service = Quotes,
                .address = {.ip = "10.0.1.1", .port = static_cast<uint16_t>(9000 + i)},
                .zone = ZoneName(i % 2 == 0 ? "north-a" : "south-a"),
                .slots = 3});
        targets_.applyReport(report, HostId("10.0.0.9:7000"), Now);
    }
    double weightFor(const std::vector<Duration>& objectives)
    {
        split_.install(planWith(objectives));
        split_.tick(targets_, Now);
        return split_.localWeight(Quotes);
    }

    TargetSet targets_ {{.self = HostId("g"), .zone = ZoneName("north-a"), .region = RegionName("north")},
        {{ZoneName("north-a"), RegionName("north")}, {ZoneName("south-a"), RegionName("south")}}};
    RegionSplit split_ {0.15};
};

} // namespace

TEST_F(RegionSplitTest, LocalSlotsWeighMoreRegardlessOfObjectives)
{
    EXPECT_GT(weightFor({400ms}), 2);
    EXPECT_EQ(weightFor({400ms}), weightFor({1500ms, 2s}));
}

TEST_F(RegionSplitTest, CapacityFollowsUsableTargets)
{
    EXPECT_EQ(targets_.capacityOf(Quotes).allSlots, 48);
    EXPECT_EQ(targets_.capacityOf(Quotes).localSlots, 24);
    EXPECT_EQ(targets_.capacityOf(Quotes).regions, 2U);
    model::TargetReport closed {.orders = {.term = {1}, .index = {2}}, .evacuatedZones = {ZoneName("south-a")}};
    closed.retired.push_back({.target = TargetId("t-0")});
    targets_.applyReport(closed, HostId("10.0.0.9:7000"), Now);
    for (int tick = 0; tick < 10; ++tick)
        targets_.tick(Now);
    EXPECT_EQ(targets_.capacityOf(Quotes).allSlots, 21);
    EXPECT_EQ(targets_.capacityOf(Quotes).regions, 1U);
}

} // namespace saltvane::gateway::test
