/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "trafficfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <random>
#include <vector>

namespace saltvane::fleet::test {

namespace {

using Partition = CrashingTargets::Partition;

/// Of the fraction of first attempts that are served at the other gateways.
constexpr double MinServedWhileDetecting = 0.8;
constexpr double MinServed = 0.95;
/// From the start of a partition.
constexpr Duration DetectionTime = 4s;
constexpr Duration ReturnTime = 2s;

std::vector<size_t> allBut(size_t gateways, const std::vector<size_t>& excluded)
{
    std::vector<size_t> others;
    for (size_t gateway = 0; gateway < gateways; ++gateway) {
        if (std::ranges::find(excluded, gateway) == excluded.end())
            others.push_back(gateway);
    }
    return others;
}

struct PartitionCase {
    const char* name;
    Partition partition;
    std::vector<size_t> gateways; ///< The partitioned ones. Gateways 0 and 3 are in one zone, as are 1 and 4, 2 and 5.
};

void PrintTo(const PartitionCase& testCase, std::ostream* stream) { *stream << testCase.name; }

class TargetPartitionTest : public testing::TestWithParam<PartitionCase> { };

} // namespace

// Guards against gateways that refuse their callers' requests while they reach no target and other gateways do.
TEST_P(TargetPartitionTest, CallersOfPartitionedGatewaysAreServed)
{
    const std::vector<size_t>& partitioned = GetParam().gateways;
    TrafficFleet fleet(11, {.count = 24}, {}, {.requestsPerSecond = 60, .haveObjects = true});
    const std::vector<size_t> others = allBut(fleet.fleet().gateways(), partitioned);
    fleet.run(4s);
    for (const size_t gateway : partitioned)
        fleet.targets().setPartition(gateway, GetParam().partition);
    fleet.clearTally();
    fleet.run(DetectionTime);
    EXPECT_GE(fleet.firstAttemptsServed(partitioned), MinServedWhileDetecting * fleet.firstAttemptsServed(others));
    fleet.clearTally();
    fleet.run(8s);
    EXPECT_GE(fleet.firstAttemptsServed(partitioned), MinServed * fleet.firstAttemptsServed(others));
    EXPECT_GE(fleet.firstAttemptsServed(others), MinServed);
    for (const size_t gateway : partitioned)
        fleet.targets().setPartition(gateway, Partition::None);
    fleet.run(ReturnTime);
    fleet.clearTally();
    const size_t sentBefore = fleet.peers().sent();
    fleet.run(4s);
    EXPECT_GE(fleet.firstAttemptsServed(partitioned), MinServed);
    EXPECT_EQ(fleet.peers().sent(), sentBefore) << "requests still go by peers after the partition";
    EXPECT_LE(fleet.targets().maxRunsOfAtMostOnce(), 1U);
    EXPECT_EQ(fleet.untrueRefusals(), 0U);
    EXPECT_EQ(fleet.tally().quarantined, 0U);
}

INSTANTIATE_TEST_SUITE_P(Partitions, TargetPartitionTest,
    testing::Values(PartitionCase {"HangingOne", Partition::Hang, {0}},
        PartitionCase {"HangingZone", Partition::Hang, {0, 3}},
        PartitionCase {"HangingMost", Partition::Hang, {0, 1, 3, 4}},
        PartitionCase {"ResetThree", Partition::Reset, {0, 1, 5}},
        PartitionCase {"ResetMost", Partition::Reset, {0, 1, 2, 3}},
        PartitionCase {"RefusingNewTwo", Partition::RefuseNew, {1, 2}},
        PartitionCase {"RefusingNewZone", Partition::RefuseNew, {2, 5}}),
    [](const auto& testCase) { return testCase.param.name; });

// Guards against gateways that hold requests until their deadlines, or send them to each other in turn, when no gateway
// reaches a target.
TEST(TargetPartitionOfAllTest, RequestsAreRefusedAtOnceAndServedSoonAfter)
{
    TrafficFleet fleet(12, {.count = 24}, {}, {.requestsPerSecond = 60, .haveObjects = true});
    fleet.run(2s);
    const std::vector<size_t> all = allBut(fleet.fleet().gateways(), {});
    for (const size_t gateway : all)
        fleet.targets().setPartition(gateway, Partition::Hang);
    fleet.run(DetectionTime);
    const uint64_t refused = fleet.sendRequest(0, {.path = "/read/refused"});
    fleet.run(200ms);
    EXPECT_EQ(fleet.outcomeOf(refused).status, 503);
    EXPECT_GT(fleet.outcomeOf(refused).retryAfter, 0);
    for (const size_t gateway : all)
        fleet.targets().setPartition(gateway, Partition::None);
    fleet.run(ReturnTime);
    fleet.clearTally();
    fleet.run(3s);
    EXPECT_GE(fleet.firstAttemptsServed(all), MinServed);
    EXPECT_LE(fleet.targets().maxRunsOfAtMostOnce(), 1U);
}

// Guards against requests that are lost because the peer that carries them stops.
TEST(TargetPartitionPeerTest, OtherPeersCarryTheRequestsWhenOneStops)
{
    TrafficFleet fleet(13, {.count = 24}, {}, {.requestsPerSecond = 60, .haveObjects = true});
    fleet.run(2s);
    const std::vector<size_t> partitioned {0};
    fleet.targets().setPartition(0, Partition::Hang);
    fleet.run(DetectionTime);
    fleet.clearTally();
    for (size_t gateway = 1; gateway < fleet.fleet().gateways(); ++gateway) {
        fleet.restartGateway(gateway);
        fleet.run(1500ms);
    }
    fleet.run(1s);
    EXPECT_GE(fleet.firstAttemptsServed(partitioned), 0.9);
    EXPECT_LE(fleet.targets().maxRunsOfAtMostOnce(), 1U);
    EXPECT_EQ(fleet.untrueRefusals(), 0U);
}

// Guards against requests that are quarantined at all gateways because partitioned ones lost their connections.
TEST(TargetPartitionEvidenceTest, LostConnectionsOfPartitionedGatewaysAreNoEvidenceAgainstRequests)
{
    TrafficFleet fleet(
        14, {.count = 24, .minProcessingTime = 200ms}, {}, {.requestsPerSecond = 60, .haveObjects = true});
    fleet.run(2s);
    const std::vector<size_t> partitioned {0, 1, 5};
    for (int i = 0; i < 2; ++i) {
        for (const size_t gateway : partitioned)
            (void)fleet.sendRequest(gateway, {.path = "/read/same"});
    }
    fleet.run(50ms);
    for (const size_t gateway : partitioned)
        fleet.targets().setPartition(gateway, Partition::Reset);
    fleet.run(1s);
    for (const size_t gateway : allBut(fleet.fleet().gateways(), {})) {
        const uint64_t number = fleet.sendRequest(gateway, {.path = "/read/same"});
        fleet.run(500ms);
        EXPECT_NE(fleet.outcomeOf(number).reason, "request-quarantined") << gateway;
    }
}

namespace {

int seedCount()
{
    constexpr int DefaultSeeds = 8;
    const char* const requested = std::getenv("SALTVANE_SEEDS");
    return requested == nullptr ? DefaultSeeds : std::atoi(requested);
}

/// Partitions of random gateways from all targets, which overlap each other and other faults.
class RandomPartitions {
public:
    explicit RandomPartitions(unsigned int seed)
        : random_(seed)
        , fleet_(seed, {.count = 24}, {}, {.requestsPerSecond = 60, .haveObjects = true})
    {
    }

    void run()
    {
        constexpr int Faults = 14;
        constexpr std::array Kinds {&RandomPartitions::partition, &RandomPartitions::partition,
            &RandomPartitions::partition, &RandomPartitions::endPartition, &RandomPartitions::restartGateway,
            &RandomPartitions::suspendGateway, &RandomPartitions::crashTarget, &RandomPartitions::evacuate,
            &RandomPartitions::cutOffGateway};
        for (int fault = 0; fault < Faults; ++fault) {
            fleet_.run(milliseconds(100, 1500));
            (this->*Kinds.at(draw(Kinds.size())))();
        }
        for (size_t gateway = 0; gateway < fleet_.fleet().gateways(); ++gateway)
            fleet_.targets().setPartition(gateway, Partition::None);
        if (evacuated_)
            (void)fleet_.fleet().registries().order("DELETE", "/v1/evacuations/north-a");
        constexpr Duration RecoveryTime = 8s; // Of targets that crashed, and of a zone that is in use again.
        fleet_.run(RecoveryTime);
        fleet_.clearTally();
        fleet_.run(3s);
    }
    [[nodiscard]] TrafficFleet& fleet() { return fleet_; }

private:
    size_t draw(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random_); }
    Duration milliseconds(int64_t min, int64_t max)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int64_t>(min, max)(random_));
    }
    size_t gateway() { return draw(fleet_.fleet().gateways()); }
    void partition()
    {
        constexpr std::array Kinds {Partition::Hang, Partition::Reset, Partition::RefuseNew};
        const Partition kind = Kinds.at(draw(Kinds.size()));
        for (size_t i = 0; i <= draw(3); ++i)
            fleet_.targets().setPartition(gateway(), kind);
    }
    void endPartition() { fleet_.targets().setPartition(gateway(), Partition::None); }
    void restartGateway() { fleet_.restartGateway(gateway()); }
    void suspendGateway() { fleet_.fleet().suspendGateway(gateway(), milliseconds(200, 3000)); }
    void crashTarget() { fleet_.targets().crash(draw(fleet_.targets().size())); }
    void cutOffGateway() { fleet_.fleet().cutOffGateway(gateway(), milliseconds(200, 3000)); }
    void evacuate()
    {
        evacuated_ = !evacuated_;
        (void)fleet_.fleet().registries().order(evacuated_ ? "PUT" : "DELETE", "/v1/evacuations/north-a");
    }

    std::mt19937 random_;
    TrafficFleet fleet_;
    bool evacuated_ = false;
};

} // namespace

// Guards against requests that run twice or are reported as not run, and against gateways that stay isolated, when
// partitions overlap restarts, stalls, crashes of targets, evacuations and cut links. SALTVANE_SEEDS sets the number of
// seeds.
TEST(DrawnPartitionTest, NoRequestRunsTwiceAndAllAreServedAfterwards)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        RandomPartitions run(static_cast<unsigned int>(seed));
        run.run();
        TrafficFleet& fleet = run.fleet();
        EXPECT_LE(fleet.targets().maxRunsOfAtMostOnce(), 1U) << "seed " << seed;
        EXPECT_EQ(fleet.untrueRefusals(), 0U) << "seed " << seed;
        EXPECT_GE(fleet.firstAttemptsServed(allBut(fleet.fleet().gateways(), {})), MinServed) << "seed " << seed;
    }
}

} // namespace saltvane::fleet::test
