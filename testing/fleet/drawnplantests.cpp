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

/// Faults drawn by a seed, one after the other, while plans change; every use of a plan is held to the newest one
/// acknowledged. SALTVANE_SEEDS: how many seeds are played.
namespace saltvane::fleet::test {

namespace {

constexpr int UsualSeeds = 12;
constexpr int FaultsPerSeed = 5;

int seedsToPlay()
{
    const char* const asked = std::getenv("SALTVANE_SEEDS");
    return asked == nullptr ? UsualSeeds : std::atoi(asked);
}

class DrawnFaults {
public:
    explicit DrawnFaults(unsigned int seed)
        : random_(seed)
    {
    }

    void play()
    {
        constexpr std::array Faults {&DrawnFaults::cutOffSome, &DrawnFaults::cutInHalf, &DrawnFaults::killOne,
            &DrawnFaults::endAllPower, &DrawnFaults::silenceLinks, &DrawnFaults::restartGateway};
        for (int fault = 0; fault < FaultsPerSeed; ++fault) {
            pass(draw(200, 2000));
            (this->*Faults.at(static_cast<size_t>(draw(0, Faults.size() - 1).count())))();
            fleet_.noteFault();
        }
        pass(Rejoining);
    }

    [[nodiscard]] PlanFleet& fleet() { return fleet_; }

private:
    /// A host that lost its disk is a voter again after it.
    static constexpr Duration Rejoining = 6s;

    std::chrono::milliseconds draw(int64_t least, int64_t most)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int64_t>(least, most)(random_));
    }
    std::vector<size_t> drawRegistries(size_t count)
    {
        std::vector<size_t> all(Registries);
        std::iota(all.begin(), all.end(), size_t {0});
        std::ranges::shuffle(all, random_);
        all.resize(count);
        return all;
    }

    /// Time in which the operator changes plans.
    void pass(Duration duration)
    {
        for (const Timestamp end = fleet_.registries().now() + duration; fleet_.registries().now() < end;) {
            fleet_.putPlan();
            fleet_.run(draw(200, 1800));
        }
    }
    /// The same where no host can be held to what is acknowledged meanwhile.
    void passInTrouble(Duration duration)
    {
        for (const Timestamp end = fleet_.registries().now() + duration; fleet_.registries().now() < end;) {
            fleet_.noteFault();
            fleet_.putPlan();
            fleet_.run(100ms);
        }
    }

    void cutOff(size_t count)
    {
        for (const size_t registry : drawRegistries(count))
            fleet_.registries().isolate(registry);
        fleet_.noteFault();
    }
    void cutOffSome()
    {
        cutOff(static_cast<size_t>(draw(1, 2).count()));
        pass(draw(1000, 8000));
        fleet_.registries().heal();
    }
    void cutInHalf()
    {
        cutOff(Registries / 2);
        passInTrouble(draw(1000, 8000));
        fleet_.registries().heal();
    }
    void killOne()
    {
        const size_t registry = drawRegistries(1).front();
        fleet_.fleet().killRegistry(registry);
        fleet_.noteFault();
        pass(draw(200, 5000));
        fleet_.fleet().startRegistry(registry);
    }
    /// Right after a plan was acknowledged every host loses its power, and up to two disks are gone for good.
    void endAllPower()
    {
        fleet_.putPlan();
        for (size_t registry = 0; registry < Registries; ++registry)
            fleet_.fleet().killRegistry(registry);
        for (const size_t registry : drawRegistries(static_cast<size_t>(draw(0, 2).count())))
            fleet_.registries().wipeDisk(registry);
        for (const size_t registry : drawRegistries(Registries)) {
            fleet_.fleet().startRegistry(registry);
            fleet_.noteFault();
            fleet_.run(draw(0, 300));
        }
        for (size_t gateway = 0; gateway < fleet_.fleet().gateways(); ++gateway)
            fleet_.fleet().restartGateway(gateway);
        fleet_.noteFault();
        pass(Rejoining);
    }
    void silenceLinks()
    {
        fleet_.fleet().silenceGateways();
        fleet_.noteFault();
        pass(draw(1000, 8000));
    }
    void restartGateway()
    {
        const auto last = static_cast<int64_t>(fleet_.fleet().gateways() - 1);
        fleet_.fleet().restartGateway(static_cast<size_t>(draw(0, last).count()));
    }

    static constexpr size_t Registries = FleetOptions().registries;
    std::mt19937 random_;
    PlanFleet fleet_;
};

} // namespace

TEST(DrawnPlanTest, NoUseIsByAPlanThatWasReplaced)
{
    uint64_t plans = 0;
    for (int seed = 1; seed <= seedsToPlay(); ++seed) {
        DrawnFaults drawn(static_cast<unsigned int>(seed));
        drawn.play();
        const std::vector<std::string> findings = drawn.fleet().findings();
        EXPECT_TRUE(findings.empty()) << "seed " << seed << ": " << findings.size() << " of " << drawn.fleet().uses()
                                      << "; first: " << findings.front();
        EXPECT_TRUE(drawn.fleet().fleet().isPlanEverywhere(drawn.fleet().version())) << "seed " << seed;
        plans += drawn.fleet().version();
    }
    EXPECT_GT(plans, static_cast<uint64_t>(10 * seedsToPlay()));
}

} // namespace saltvane::fleet::test
