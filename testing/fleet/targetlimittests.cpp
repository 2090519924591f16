/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "limitledger.h"
#include "trafficfleet.h"

#include <array>
#include <cstdlib>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace saltvane::fleet::test {

namespace {

constexpr size_t Targets = 24;

/// Every run has as many gateways as the largest deployment of the small sites.
TrafficFleet makeFleet(unsigned int seed, size_t gateways)
{
    return TrafficFleet(
        seed, {.count = Targets}, {.gateways = gateways}, {.requestsPerSecond = 144, .haveObjects = true});
}

int seedCount()
{
    constexpr int DefaultSeeds = 8;
    const char* const requested = std::getenv("SALTVANE_SEEDS");
    return requested == nullptr ? DefaultSeeds : std::atoi(requested);
}

/// Randomized test: limits are announced, changed and withdrawn during faults of gateways, registry hosts and targets.
class RandomLimits {
public:
    explicit RandomLimits(unsigned int seed)
        : random_(seed)
        , fleet_(makeFleet(seed, std::array<size_t, 3> {3, 9, 30}.at(seed % 3)))
        , ledger_(fleet_.fleet(), fleet_.targets())
    {
    }

    void run()
    {
        constexpr std::array Events {&RandomLimits::announceLimits, &RandomLimits::announceLimits,
            &RandomLimits::withdrawLimits, &RandomLimits::cutOffGateway, &RandomLimits::restartGateway,
            &RandomLimits::suspendGateway, &RandomLimits::killRegistry, &RandomLimits::killAllRegistries,
            &RandomLimits::isolateRegistry, &RandomLimits::crashTarget};
        constexpr int EventsPerSeed = 14;
        announceLimits();
        for (int event = 0; event < EventsPerSeed; ++event) {
            fleet_.run(randomMilliseconds(200, 4000));
            (this->*Events.at(randomIndex(Events.size())))();
        }
        fleet_.run(6s);
    }
    /// Withdraws all limits and returns the targets that get no requests well after that.
    [[nodiscard]] std::vector<size_t> idleAfterLimitsEnd()
    {
        for (size_t target = 0; target < Targets; ++target)
            fleet_.targets().setSignals(target, {});
        fleet_.run(12s);
        ledger_.clearArrivals();
        fleet_.run(4s);
        std::vector<size_t> idle;
        for (size_t target = 0; target < Targets; ++target) {
            if (ledger_.arrivalsAt(target) == 0)
                idle.push_back(target);
        }
        return idle;
    }
    [[nodiscard]] const LimitLedger& ledger() const { return ledger_; }

private:
    std::chrono::milliseconds randomMilliseconds(int64_t min, int64_t max)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int64_t>(min, max)(random_));
    }
    size_t randomIndex(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random_); }
    size_t randomGateway() { return randomIndex(fleet_.fleet().gateways()); }

    void announceLimits()
    {
        const std::array limits {0.0, 0.4, 1.0, 2.1, 2.9, 8.0, 40.0};
        const size_t count = randomIndex(3) == 0 ? Targets : 4;
        for (size_t i = 0; i < count; ++i)
            fleet_.targets().setSignals(randomIndex(Targets), {.limit = limits.at(randomIndex(limits.size()))});
    }
    void withdrawLimits()
    {
        for (size_t target = 0; target < Targets; ++target) {
            if (randomIndex(2) == 0)
                fleet_.targets().setSignals(target, {});
        }
    }
    void cutOffGateway()
    {
        const size_t gateway = randomGateway();
        const Duration duration = randomMilliseconds(500, 8000);
        fleet_.fleet().cutOffGateway(gateway, duration);
        ledger_.exempt(gateway, duration);
    }
    void restartGateway()
    {
        const size_t gateway = randomGateway();
        fleet_.restartGateway(gateway);
        ledger_.exempt(gateway);
    }
    void suspendGateway()
    {
        const size_t gateway = randomGateway();
        const Duration duration = randomMilliseconds(200, 6000);
        fleet_.fleet().suspendGateway(gateway, duration);
        ledger_.exempt(gateway, duration);
    }
    void killRegistry()
    {
        const size_t killed = randomIndex(FleetOptions().registries);
        fleet_.fleet().killRegistry(killed);
        fleet_.run(randomMilliseconds(200, 5000));
        fleet_.fleet().startRegistry(killed);
    }
    void killAllRegistries()
    {
        for (size_t registry = 0; registry < FleetOptions().registries; ++registry)
            fleet_.fleet().killRegistry(registry);
        fleet_.run(randomMilliseconds(100, 2000));
        for (size_t registry = 0; registry < FleetOptions().registries; ++registry)
            fleet_.fleet().startRegistry(registry);
    }
    void isolateRegistry()
    {
        fleet_.fleet().registries().isolate(randomIndex(FleetOptions().registries));
        fleet_.run(randomMilliseconds(500, 6000));
        fleet_.fleet().registries().heal();
    }
    void crashTarget() { fleet_.targets().crash(randomIndex(Targets)); }

    std::mt19937 random_;
    TrafficFleet fleet_;
    LimitLedger ledger_;
};

} // namespace

// Guards against gateways that ignore the limits that targets announce.
TEST(TargetLimitTest, TargetsThatAnnounceALimitGetNoMoreThanItAllows)
{
    for (const size_t gateways : {size_t {9}, size_t {89}}) {
        TrafficFleet fleet = makeFleet(1, gateways);
        LimitLedger ledger(fleet.fleet(), fleet.targets());
        fleet.run(4s);
        fleet.targets().setSignals(0, {.limit = 2.1});
        fleet.targets().setSignals(1, {.limit = 2.9});
        fleet.targets().setSignals(2, {.limit = 0});
        fleet.run(20s);
        EXPECT_LE(ledger.maxBoundFraction(), 1) << ledger.worstWindow() << ", " << gateways << " gateways";
        EXPECT_GT(ledger.usedFraction(), 0.7) << gateways << " gateways";
    }
}

// Guards against limits that hold only while no host is lost or cut off, and against limits that stay in force
// after they were withdrawn. SALTVANE_SEEDS sets the number of seeds.
TEST(DrawnLimitTest, LimitsHoldAndEndInAnyTrouble)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        RandomLimits randomized(static_cast<unsigned int>(seed));
        randomized.run();
        EXPECT_LE(randomized.ledger().maxBoundFraction(), 1) << randomized.ledger().worstWindow() << ", seed " << seed;
        const std::vector<size_t> idle = randomized.idleAfterLimitsEnd();
        EXPECT_TRUE(idle.empty()) << "seed " << seed << ": " << idle.size() << " targets, first " << idle.front();
    }
}

// Guards against a target that gets no requests for 12 s and more after it withdrew its limit.
TEST(DrawnLimitSeedTest, TargetIsUsedAgainAfterItWithdrewItsLimit)
{
    constexpr unsigned int Seed = 53;
    RandomLimits randomized(Seed);
    randomized.run();
    EXPECT_TRUE(randomized.idleAfterLimitsEnd().empty());
}

// Guards against refusing requests of a service whose targets all announce limits while credits are left.
TEST(TargetLimitTest, AServiceOfLimitedTargetsIsServedUpToItsLimits)
{
    TrafficFleet fleet = makeFleet(2, 89);
    LimitLedger ledger(fleet.fleet(), fleet.targets());
    fleet.run(4s);
    for (size_t target = 0; target < Targets; ++target)
        fleet.targets().setSignals(target, {.limit = 2.1});
    fleet.run(20s);
    EXPECT_LE(ledger.maxBoundFraction(), 1) << ledger.worstWindow();
    EXPECT_GT(ledger.usedFraction(), 0.9);
}

} // namespace saltvane::fleet::test
