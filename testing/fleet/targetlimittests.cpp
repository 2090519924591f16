/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fatalfleet.h"
#include "limitledger.h"

#include <array>
#include <cstdlib>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace saltvane::fleet::test {

namespace {

constexpr size_t Targets = 24;

/// As many gateways as the largest deployment of the small sites has, in every run.
FatalFleet makeFleet(unsigned int seed, size_t gateways)
{
    return FatalFleet(seed, {.count = Targets}, {.gateways = gateways}, {.perSecond = 144, .haveObjects = true});
}

int seedsToPlay()
{
    constexpr int UsualSeeds = 8;
    const char* const asked = std::getenv("SALTVANE_SEEDS");
    return asked == nullptr ? UsualSeeds : std::atoi(asked);
}

/// Limits that come, change and go, beside faults of gateways, registry hosts and targets.
class DrawnLimits {
public:
    explicit DrawnLimits(unsigned int seed)
        : random_(seed)
        , fleet_(makeFleet(seed, std::array<size_t, 3> {3, 9, 30}.at(seed % 3)))
        , ledger_(fleet_.fleet(), fleet_.targets())
    {
    }

    void play()
    {
        constexpr std::array Events {&DrawnLimits::nameLimits, &DrawnLimits::nameLimits, &DrawnLimits::endLimits,
            &DrawnLimits::cutOffGateway, &DrawnLimits::restartGateway, &DrawnLimits::suspendGateway,
            &DrawnLimits::killRegistry, &DrawnLimits::killAllRegistries, &DrawnLimits::isolateRegistry,
            &DrawnLimits::endTarget};
        constexpr int EventsPerSeed = 14;
        nameLimits();
        for (int event = 0; event < EventsPerSeed; ++event) {
            fleet_.run(draw(200, 4000));
            (this->*Events.at(number(Events.size())))();
        }
        fleet_.run(6s);
    }
    /// Targets that get nothing well after all limits have ended.
    [[nodiscard]] std::vector<size_t> idleAfterTheEnd()
    {
        for (size_t target = 0; target < Targets; ++target)
            fleet_.targets().setNeeds(target, {});
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
    std::chrono::milliseconds draw(int64_t least, int64_t most)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int64_t>(least, most)(random_));
    }
    size_t number(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random_); }
    size_t gateway() { return number(fleet_.fleet().gateways()); }

    void nameLimits()
    {
        const std::array limits {0.0, 0.4, 1.0, 2.1, 2.9, 8.0, 40.0};
        const size_t most = number(3) == 0 ? Targets : 4;
        for (size_t i = 0; i < most; ++i)
            fleet_.targets().setNeeds(number(Targets), {.limit = limits.at(number(limits.size()))});
    }
    void endLimits()
    {
        for (size_t target = 0; target < Targets; ++target) {
            if (number(2) == 0)
                fleet_.targets().setNeeds(target, {});
        }
    }
    void cutOffGateway()
    {
        const size_t cut = gateway();
        const Duration duration = draw(500, 8000);
        fleet_.fleet().cutOffGateway(cut, duration);
        ledger_.excuse(cut, duration);
    }
    void restartGateway()
    {
        const size_t restarted = gateway();
        fleet_.restartGateway(restarted);
        ledger_.excuse(restarted);
    }
    void suspendGateway()
    {
        const size_t suspended = gateway();
        const Duration duration = draw(200, 6000);
        fleet_.fleet().suspendGateway(suspended, duration);
        ledger_.excuse(suspended, duration);
    }
    void killRegistry()
    {
        const size_t killed = number(FleetOptions().registries);
        fleet_.fleet().killRegistry(killed);
        fleet_.run(draw(200, 5000));
        fleet_.fleet().startRegistry(killed);
    }
    void killAllRegistries()
    {
        for (size_t registry = 0; registry < FleetOptions().registries; ++registry)
            fleet_.fleet().killRegistry(registry);
        fleet_.run(draw(100, 2000));
        for (size_t registry = 0; registry < FleetOptions().registries; ++registry)
            fleet_.fleet().startRegistry(registry);
    }
    void isolateRegistry()
    {
        fleet_.fleet().registries().isolate(number(FleetOptions().registries));
        fleet_.run(draw(500, 6000));
        fleet_.fleet().registries().heal();
    }
    void endTarget() { fleet_.targets().end(number(Targets)); }

    std::mt19937 random_;
    FatalFleet fleet_;
    LimitLedger ledger_;
};

} // namespace

// Guards against targets that name a limit being sent as much as before.
TEST(TargetLimitTest, TargetsThatNameALimitGetNoMoreThanItAllows)
{
    for (const size_t gateways : {size_t {9}, size_t {89}}) {
        FatalFleet fleet = makeFleet(1, gateways);
        LimitLedger ledger(fleet.fleet(), fleet.targets());
        fleet.run(4s);
        fleet.targets().setNeeds(0, {.limit = 2.1});
        fleet.targets().setNeeds(1, {.limit = 2.9});
        fleet.targets().setNeeds(2, {.limit = 0});
        fleet.run(20s);
        EXPECT_LE(ledger.mostOfBound(), 1) << ledger.worst() << ", " << gateways << " gateways";
        EXPECT_GT(ledger.usedShare(), 0.7) << gateways << " gateways";
    }
}

// Guards against limits that hold only while no host is lost or cut off, and against limits that outlive their end.
TEST(DrawnLimitTest, LimitsHoldAndEndInAnyTrouble)
{
    for (int seed = 1; seed <= seedsToPlay(); ++seed) {
        DrawnLimits drawn(static_cast<unsigned int>(seed));
        drawn.play();
        EXPECT_LE(drawn.ledger().mostOfBound(), 1) << drawn.ledger().worst() << ", seed " << seed;
        const std::vector<size_t> idle = drawn.idleAfterTheEnd();
        EXPECT_TRUE(idle.empty()) << "seed " << seed << ": " << idle.size() << " targets, first " << idle.front();
    }
}

// Guards against a service whose targets all name limits being refused where they have credits left.
TEST(TargetLimitTest, AServiceOfLimitedTargetsIsServedUpToItsLimits)
{
    FatalFleet fleet = makeFleet(2, 89);
    LimitLedger ledger(fleet.fleet(), fleet.targets());
    fleet.run(4s);
    for (size_t target = 0; target < Targets; ++target)
        fleet.targets().setNeeds(target, {.limit = 2.1});
    fleet.run(20s);
    EXPECT_LE(ledger.mostOfBound(), 1) << ledger.worst();
    EXPECT_GT(ledger.usedShare(), 0.9);
}

} // namespace saltvane::fleet::test
