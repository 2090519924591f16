/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "planfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <numeric>
#include <random>

/// Randomized test: a sequence of random faults while plans change; every use of a plan is compared with the newest
/// plan acknowledged. SALTVANE_SEEDS sets the number of seeds.
namespace saltvane::fleet::test {

namespace {

constexpr int DefaultSeeds = 12;
constexpr int FaultsPerSeed = 5;

int seedCount()
{
    const char* const requested = std::getenv("SALTVANE_SEEDS");
    return requested == nullptr ? DefaultSeeds : std::atoi(requested);
}

class RandomFaults {
public:
    explicit RandomFaults(unsigned int seed)
        : random_(seed)
    {
    }

    void run()
    {
        constexpr std::array Faults {&RandomFaults::cutOffSome, &RandomFaults::cutOffHalf, &RandomFaults::killOne,
            &RandomFaults::powerOffAll, &RandomFaults::stallLinks, &RandomFaults::restartGateway};
        for (int fault = 0; fault < FaultsPerSeed; ++fault) {
            runWithPlanChanges(randomMilliseconds(200, 2000));
            (this->*Faults.at(static_cast<size_t>(randomMilliseconds(0, Faults.size() - 1).count())))();
            fleet_.recordFault();
        }
        runWithPlanChanges(RejoinTime);
    }

    [[nodiscard]] PlanFleet& fleet() { return fleet_; }

private:
    /// Time after which a host that lost its disk is a voter again.
    static constexpr Duration RejoinTime = 6s;

    std::chrono::milliseconds randomMilliseconds(int64_t min, int64_t max)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int64_t>(min, max)(random_));
    }
    std::vector<size_t> randomRegistries(size_t count)
    {
        std::vector<size_t> all(Registries);
        std::iota(all.begin(), all.end(), size_t {0});
        std::ranges::shuffle(all, random_);
        all.resize(count);
        return all;
    }

    /// Runs for `duration` while the operator changes plans.
    void runWithPlanChanges(Duration duration)
    {
        for (const Timestamp end = fleet_.registries().now() + duration; fleet_.registries().now() < end;) {
            fleet_.putPlan();
            fleet_.run(randomMilliseconds(200, 1800));
        }
    }
    /// Runs like that, but exempts all hosts from what is acknowledged meanwhile, as no quorum is left.
    void runWithoutQuorum(Duration duration)
    {
        for (const Timestamp end = fleet_.registries().now() + duration; fleet_.registries().now() < end;) {
            fleet_.recordFault();
            fleet_.putPlan();
            fleet_.run(100ms);
        }
    }

    void cutOff(size_t count)
    {
        for (const size_t registry : randomRegistries(count))
            fleet_.registries().isolate(registry);
        fleet_.recordFault();
    }
    void cutOffSome()
    {
        cutOff(static_cast<size_t>(randomMilliseconds(1, 2).count()));
        runWithPlanChanges(randomMilliseconds(1000, 8000));
        fleet_.registries().heal();
    }
    void cutOffHalf()
    {
        cutOff(Registries / 2);
        runWithoutQuorum(randomMilliseconds(1000, 8000));
        fleet_.registries().heal();
    }
    void killOne()
    {
        const size_t registry = randomRegistries(1).front();
        fleet_.fleet().killRegistry(registry);
        fleet_.recordFault();
        runWithPlanChanges(randomMilliseconds(200, 5000));
        fleet_.fleet().startRegistry(registry);
    }
    /// Every host loses power right after a plan was acknowledged, and up to two disks are lost.
    void powerOffAll()
    {
        fleet_.putPlan();
        for (size_t registry = 0; registry < Registries; ++registry)
            fleet_.fleet().killRegistry(registry);
        for (const size_t registry : randomRegistries(static_cast<size_t>(randomMilliseconds(0, 2).count())))
            fleet_.registries().wipeDisk(registry);
        for (const size_t registry : randomRegistries(Registries)) {
            fleet_.fleet().startRegistry(registry);
            fleet_.recordFault();
            fleet_.run(randomMilliseconds(0, 300));
        }
        for (size_t gateway = 0; gateway < fleet_.fleet().gateways(); ++gateway)
            fleet_.fleet().restartGateway(gateway);
        fleet_.recordFault();
        runWithPlanChanges(RejoinTime);
    }
    void stallLinks()
    {
        fleet_.fleet().stallGatewayLinks();
        fleet_.recordFault();
        runWithPlanChanges(randomMilliseconds(1000, 8000));
    }
    void restartGateway()
    {
        const auto last = static_cast<int64_t>(fleet_.fleet().gateways() - 1);
        fleet_.fleet().restartGateway(static_cast<size_t>(randomMilliseconds(0, last).count()));
    }

    static constexpr size_t Registries = FleetOptions().registries;
    std::mt19937 random_;
    PlanFleet fleet_;
};

} // namespace

TEST(DrawnPlanTest, NoUseIsByAPlanThatWasReplaced)
{
    uint64_t plans = 0;
    for (int seed = 1; seed <= seedCount(); ++seed) {
        RandomFaults randomized(static_cast<unsigned int>(seed));
        randomized.run();
        const std::vector<std::string> findings = randomized.fleet().findings();
        EXPECT_TRUE(findings.empty()) << "seed " << seed << ": " << findings.size() << " of "
                                      << randomized.fleet().uses() << "; first: " << findings.front();
        EXPECT_TRUE(randomized.fleet().fleet().isPlanInForceEverywhere(randomized.fleet().version()))
            << "seed " << seed;
        plans += randomized.fleet().version();
    }
    EXPECT_GT(plans, static_cast<uint64_t>(10 * seedCount()));
}

} // namespace saltvane::fleet::test
