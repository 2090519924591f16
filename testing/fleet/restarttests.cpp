/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "slowstartledger.h"
#include "trafficfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <numeric>
#include <random>
#include <vector>

namespace saltvane::fleet::test {

namespace {

using Partition = CrashingTargets::Partition;

constexpr double SlowStartPerSecond = 14;
constexpr Duration SlowStart = 3s;
constexpr size_t Targets = 12;
constexpr Duration ShortCrash = 1200ms;
constexpr Duration LongCrash = 4s;
/// Of the fraction of first attempts that are served without the fault.
constexpr double MinServed = 0.95;

/// Targets that start again under their ids.
struct RestartingTargets {
    bool statesStart = false;
    bool reportsToAnyRegistry = false;
};

TrafficFleet makeFleet(unsigned int seed, size_t gateways, double requestsPerSecond, const RestartingTargets& targets)
{
    return TrafficFleet(seed,
        {.count = Targets,
            .slots = 9,
            .queue = 27,
            .keepsId = true,
            .statesStart = targets.statesStart,
            .reportsToAnyRegistry = targets.reportsToAnyRegistry,
            .slowStartPerSecond = SlowStartPerSecond,
            .slowStart = SlowStart},
        {.gateways = gateways}, {.requestsPerSecond = requestsPerSecond, .haveObjects = true});
}

constexpr size_t Restarted = Targets / 3;

void crashThird(TrafficFleet& fleet, Duration downtime)
{
    for (size_t target = 0; target < Restarted; ++target)
        fleet.targets().crash(target, downtime);
}

/// A third of the targets crash at once and start again under their ids.
struct RestartCase {
    RestartingTargets targets;
    Duration downtime {};
    int restarts = 1;
    bool areReportsLate = false; ///< A report from before the crash arrives 0.3 s after the first one of the new start.
};

void playRestarts(TrafficFleet& fleet, const RestartCase& restartCase)
{
    fleet.run(3500ms); // The targets report in 0.5 s.
    if (restartCase.areReportsLate) {
        for (size_t target = 0; target < Restarted; ++target)
            fleet.targets().delayReports(target, 800ms + restartCase.downtime, 1s);
    }
    fleet.run(1s);
    for (int restart = 0; restart < restartCase.restarts; ++restart) {
        crashThird(fleet, restartCase.downtime);
        fleet.run(restartCase.downtime + SlowStart + 1s);
    }
    EXPECT_EQ(fleet.targets().overtakenReports() > 0, restartCase.areReportsLate);
}

void expectNoFlood(const RestartCase& restartCase)
{
    constexpr unsigned int FirstSeed = 31;
    constexpr unsigned int Seeds = 8;
    double most = 0;
    int flooded = 0;
    for (unsigned int seed = FirstSeed; seed < FirstSeed + Seeds; ++seed) {
        TrafficFleet fleet = makeFleet(seed, 9, 480, restartCase.targets);
        SlowStartLedger ledger(fleet.fleet(), fleet.targets(), {.perSecond = SlowStartPerSecond});
        playRestarts(fleet, restartCase);
        most = std::max(most, ledger.maxBoundFraction());
        flooded += ledger.maxBoundFraction() > 1 ? 1 : 0;
        EXPECT_LE(ledger.maxBoundFraction(), 1) << ledger.worstSecond() << ", seed " << seed;
    }
    std::cout << "seeds over the bound: " << flooded << " of " << Seeds << ", most of the bound: " << most << "\n";
}

/// Requests to the restarted targets within `duration`, by target.
std::vector<size_t> requestsOf(TrafficFleet& fleet, Duration duration)
{
    std::vector<size_t> requests(Restarted);
    fleet.targets().onArrival.emplace_back([&requests](const CrashingTargets::Exchange& exchange) {
        if (exchange.target < Restarted && !exchange.isProbe)
            ++requests[exchange.target];
    });
    fleet.run(duration);
    fleet.targets().onArrival.pop_back();
    return requests;
}

void expectUsed(const RestartingTargets& targets)
{
    TrafficFleet fleet = makeFleet(32, 9, 240, targets);
    fleet.run(15s); // Longer than until a silent target is removed, so that as many reports come before the crash.
    crashThird(fleet, ShortCrash);
    fleet.run(ShortCrash + SlowStart + 1s);
    constexpr int Periods = 8;
    int unused = 0;
    for (int period = 0; period < Periods; ++period) {
        for (const size_t requests : requestsOf(fleet, 2s))
            unused += requests == 0 ? 1 : 0;
    }
    EXPECT_EQ(unused, 0) << "periods of 2 s without a request to one of the targets, of " << Periods * Restarted
                         << (targets.reportsToAnyRegistry ? ", reports to any registry host"
                                                          : ", reports to the leader");
}

/// All registry hosts stop at once. A third of the targets stop meanwhile and start again, and the hosts start.
struct CommonRestartCase {
    RestartingTargets targets;
    Duration crashAfter {}; ///< The hosts' stop.
    Duration downtime {}; ///< Of the targets.
    Duration hostsDowntime {};
    bool doGatewaysRestart = false; ///< With the registry hosts.
};

void killRegistries(TrafficFleet& fleet)
{
    for (size_t registry = 0; registry < FleetOptions().registries; ++registry)
        fleet.fleet().killRegistry(registry);
}

void startRegistries(TrafficFleet& fleet)
{
    for (size_t registry = 0; registry < FleetOptions().registries; ++registry) {
        if (!fleet.fleet().registries().isRunning(registry))
            fleet.fleet().startRegistry(registry);
    }
}

void playCommonRestart(TrafficFleet& fleet, const CommonRestartCase& restartCase)
{
    fleet.run(6s); // The hosts have stored which targets report.
    killRegistries(fleet);
    fleet.run(restartCase.crashAfter);
    crashThird(fleet, restartCase.downtime);
    fleet.run(restartCase.hostsDowntime - restartCase.crashAfter);
    startRegistries(fleet);
    for (size_t gateway = 0; restartCase.doGatewaysRestart && gateway < fleet.fleet().gateways(); ++gateway)
        fleet.restartGateway(gateway);
    fleet.run(SlowStart + 4s);
}

void expectNoFloodOfRecalled(const CommonRestartCase& restartCase)
{
    constexpr unsigned int FirstSeed = 41;
    constexpr unsigned int Seeds = 8;
    double most = 0;
    int flooded = 0;
    for (unsigned int seed = FirstSeed; seed < FirstSeed + Seeds; ++seed) {
        TrafficFleet fleet = makeFleet(seed, 9, 480, restartCase.targets);
        SlowStartLedger ledger(fleet.fleet(), fleet.targets(), {.perSecond = SlowStartPerSecond});
        playCommonRestart(fleet, restartCase);
        most = std::max(most, ledger.maxBoundFraction());
        flooded += ledger.maxBoundFraction() > 1 ? 1 : 0;
        EXPECT_LE(ledger.maxBoundFraction(), 1) << ledger.worstSecond() << ", seed " << seed;
    }
    std::cout << "seeds over the bound: " << flooded << " of " << Seeds << ", most of the bound: " << most << "\n";
}

/// What the targets of a randomized test do.
struct DrawnTargets {
    bool statesStart = false;
    bool areCutOff = false; ///< Some are cut off while they start again.
};

/// Randomized test: targets crash and start again, once or several times in a row, some beside a call of /leave, some
/// with late reports of their former start, during cuts, restarts and suspensions of hosts.
class RandomRestarts {
public:
    RandomRestarts(unsigned int seed, const DrawnTargets& targets)
        : targets_(targets)
        , random_(seed)
        , fleet_(makeFleet(seed, std::array<size_t, 3> {2, 9, 30}.at(seed % 3), 360,
              {.statesStart = targets.statesStart, .reportsToAnyRegistry = !isOneIn(3)}))
        , ledger_(fleet_.fleet(), fleet_.targets(), {.perSecond = SlowStartPerSecond})
    {
    }

    void run()
    {
        constexpr int RoundsPerSeed = 5;
        const size_t leaving = randomIndex(Targets);
        const int leaveRound = static_cast<int>(randomIndex(RoundsPerSeed));
        for (int round = 0; round < RoundsPerSeed; ++round) {
            fleet_.run(randomMilliseconds(1000, 4000));
            disturbHosts();
            delayReports();
            if (round == leaveRound)
                fleet_.targets().leave(leaving);
            fleet_.run(randomMilliseconds(0, 1500));
            if (round == leaveRound)
                fleet_.targets().crash(leaving, randomMilliseconds(300, 3000));
            crashShare();
            fleet_.run(randomMilliseconds(500, 4000));
            crashShare();
            fleet_.run(randomMilliseconds(500, 4000));
            restoreRegistries();
        }
        fleet_.run(8s + SlowStart);
    }
    [[nodiscard]] const SlowStartLedger& ledger() const { return ledger_; }
    [[nodiscard]] size_t overtakenReports() { return fleet_.targets().overtakenReports(); }
    [[nodiscard]] size_t maxRunsOfAtMostOnce() { return fleet_.targets().maxRunsOfAtMostOnce(); }

private:
    std::chrono::milliseconds randomMilliseconds(int64_t min, int64_t max)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int64_t>(min, max)(random_));
    }
    size_t randomIndex(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random_); }
    bool isOneIn(size_t count) { return randomIndex(count) == 0; }

    /// Crashes a share of the targets, which start again after short or long times.
    void crashShare()
    {
        std::vector<size_t> targets(Targets);
        std::iota(targets.begin(), targets.end(), size_t {0});
        std::ranges::shuffle(targets, random_);
        targets.resize(1 + randomIndex(isOneIn(4) ? Targets : Targets / 2));
        const bool areCutOff = targets_.areCutOff && isOneIn(2);
        for (const size_t target : targets) {
            fleet_.targets().crash(target, isOneIn(2) ? randomMilliseconds(300, 1500) : randomMilliseconds(300, 8000));
            if (areCutOff)
                fleet_.targets().cutOff(target, randomMilliseconds(500, 9000));
        }
    }
    /// Delays the reports of some targets, so that some arrive after their next start has reported.
    void delayReports()
    {
        for (size_t target = 0; target < Targets; ++target) {
            if (isOneIn(2))
                fleet_.targets().delayReports(target, randomMilliseconds(300, 6000), randomMilliseconds(200, 3000));
        }
    }
    void disturbHosts()
    {
        constexpr std::array Events {&RandomRestarts::cutOffGateways, &RandomRestarts::restartGateway,
            &RandomRestarts::suspendGateway, &RandomRestarts::isolateRegistry, &RandomRestarts::killRegistry};
        if (isOneIn(2))
            (this->*Events.at(randomIndex(Events.size())))();
    }
    void restoreRegistries()
    {
        fleet_.fleet().registries().heal();
        for (size_t registry = 0; registry < FleetOptions().registries; ++registry) {
            if (!fleet_.fleet().registries().isRunning(registry))
                fleet_.fleet().startRegistry(registry);
        }
    }
    void cutOffGateways()
    {
        const size_t count = randomIndex(fleet_.fleet().gateways() + 1);
        for (size_t gateway = 0; gateway < count; ++gateway)
            fleet_.fleet().cutOffGateway(gateway, randomMilliseconds(1000, 8000));
    }
    void restartGateway() { fleet_.restartGateway(randomIndex(fleet_.fleet().gateways())); }
    void suspendGateway()
    {
        fleet_.fleet().suspendGateway(randomIndex(fleet_.fleet().gateways()), randomMilliseconds(200, 4000));
    }
    void isolateRegistry() { fleet_.fleet().registries().isolate(randomIndex(FleetOptions().registries)); }
    void killRegistry() { fleet_.fleet().killRegistry(randomIndex(FleetOptions().registries)); }

    DrawnTargets targets_;
    std::mt19937 random_;
    TrafficFleet fleet_;
    SlowStartLedger ledger_;
};

int seedCount()
{
    constexpr int DefaultSeeds = 8;
    const char* const requested = std::getenv("SALTVANE_SEEDS");
    return requested == nullptr ? DefaultSeeds : std::atoi(requested);
}

void playDrawnRestarts(const DrawnTargets& targets)
{
    double most = 0;
    int flooded = 0;
    size_t overtakenReports = 0;
    for (int seed = 1; seed <= seedCount(); ++seed) {
        RandomRestarts randomized(static_cast<unsigned int>(seed), targets);
        randomized.run();
        most = std::max(most, randomized.ledger().maxBoundFraction());
        flooded += randomized.ledger().maxBoundFraction() > 1 ? 1 : 0;
        overtakenReports += randomized.overtakenReports();
        EXPECT_LE(randomized.ledger().maxBoundFraction(), 1) << randomized.ledger().worstSecond() << ", seed " << seed;
        EXPECT_LE(randomized.maxRunsOfAtMostOnce(), 1U) << "seed " << seed;
    }
    std::cout << "seeds over the bound: " << flooded << " of " << seedCount() << ", most of the bound: " << most
              << ", overtaken reports: " << overtakenReports << "\n";
}

/// Fractions of the first attempts at the gateways that are not partitioned, in successive periods.
std::vector<double> servedAtOthers(const std::vector<size_t>& partitioned, const RestartingTargets& targets)
{
    constexpr int Periods = 4;
    TrafficFleet fleet = makeFleet(34, 9, 480, targets);
    fleet.run(4s);
    for (const size_t gateway : partitioned)
        fleet.targets().setPartition(gateway, Partition::Reset);
    const std::vector<size_t> others {4, 5, 6, 7, 8};
    std::vector<double> served;
    for (int period = 0; period < Periods; ++period) {
        fleet.clearTally();
        fleet.run(2s);
        served.push_back(fleet.firstAttemptsServed(others));
    }
    return served;
}

void expectOthersServed(const std::vector<size_t>& partitioned, const RestartingTargets& targets)
{
    const std::vector<double> without = servedAtOthers({}, targets);
    const std::vector<double> with = servedAtOthers(partitioned, targets);
    for (size_t period = 0; period < with.size(); ++period) {
        std::cout << "served with the partition: " << with[period] << ", without: " << without[period] << "\n";
        EXPECT_GE(with[period], MinServed * without[period]) << "period " << period;
    }
}

} // namespace

// Guards against floods of targets that were down for so short a time that most gateways did not notice.
TEST(RestartedTargetTest, IsNotFloodedAfterAShortCrash)
{
    expectNoFlood({.targets = {.statesStart = false}, .downtime = ShortCrash});
}

// Guards against floods of targets that all gateways found to be down.
TEST(RestartedTargetTest, IsNotFloodedAfterALongCrash)
{
    expectNoFlood({.targets = {.statesStart = false}, .downtime = LongCrash});
}

// Guards against records of the former registry host that outlive the former start.
TEST(RestartedTargetTest, IsNotFloodedWhereItReportsToAnotherRegistryHost)
{
    for (const Duration downtime : {ShortCrash, LongCrash})
        expectNoFlood({.targets = {.statesStart = false, .reportsToAnyRegistry = true}, .downtime = downtime});
}

// Guards against counts of reports that gateways know from a former start.
TEST(RestartedTargetTest, IsNotFloodedAfterASecondRestart)
{
    for (const bool reportsToAnyRegistry : {false, true})
        expectNoFlood({.targets = {.statesStart = false, .reportsToAnyRegistry = reportsToAnyRegistry},
            .downtime = ShortCrash,
            .restarts = 2});
}

// Guards against a late report of the former start that ends the slow start of the later one.
TEST(RestartedTargetTest, IsNotFloodedAfterALateReportOfItsFormerStart)
{
    for (const bool reportsToAnyRegistry : {false, true})
        expectNoFlood({.targets = {.statesStart = false, .reportsToAnyRegistry = reportsToAnyRegistry},
            .downtime = ShortCrash,
            .areReportsLate = true});
}

// Guards against targets that are taken for silent since their reports count from the beginning.
TEST(RestartedTargetTest, IsUsedOnceItsFormerStartIsForgotten)
{
    for (const bool reportsToAnyRegistry : {false, true})
        expectUsed({.statesStart = false, .reportsToAnyRegistry = reportsToAnyRegistry});
}

// Guards against floods of targets that were down for so short a time that most gateways did not notice, where they
// state their start.
TEST(RestartedTargetOfStatedStartTest, IsNotFloodedAfterAShortCrash)
{
    expectNoFlood({.targets = {.statesStart = true}, .downtime = ShortCrash});
}

// Guards against floods of targets that all gateways found to be down, where they state their start.
TEST(RestartedTargetOfStatedStartTest, IsNotFloodedAfterALongCrash)
{
    expectNoFlood({.targets = {.statesStart = true}, .downtime = LongCrash});
}

// Guards against records of the former registry host that outlive the former start, where the later one is stated.
TEST(RestartedTargetOfStatedStartTest, IsNotFloodedWhereItReportsToAnotherRegistryHost)
{
    for (const Duration downtime : {ShortCrash, LongCrash})
        expectNoFlood({.targets = {.statesStart = true, .reportsToAnyRegistry = true}, .downtime = downtime});
}

// Guards against counts of reports that gateways know from a former start, where the later one is stated.
TEST(RestartedTargetOfStatedStartTest, IsNotFloodedAfterASecondRestart)
{
    for (const bool reportsToAnyRegistry : {false, true})
        expectNoFlood({.targets = {.statesStart = true, .reportsToAnyRegistry = reportsToAnyRegistry},
            .downtime = ShortCrash,
            .restarts = 2});
}

// Guards against a late report of the former start that ends the slow start of the later one, which is stated.
TEST(RestartedTargetOfStatedStartTest, IsNotFloodedAfterALateReportOfItsFormerStart)
{
    for (const bool reportsToAnyRegistry : {false, true})
        expectNoFlood({.targets = {.statesStart = true, .reportsToAnyRegistry = reportsToAnyRegistry},
            .downtime = ShortCrash,
            .areReportsLate = true});
}

// Guards against targets that are taken for silent since their reports count from the beginning, where they state their
// start.
TEST(RestartedTargetOfStatedStartTest, IsUsedOnceItsFormerStartIsForgotten)
{
    for (const bool reportsToAnyRegistry : {false, true})
        expectUsed({.statesStart = true, .reportsToAnyRegistry = reportsToAnyRegistry});
}

// Guards against floods of restarted targets in any trouble of targets, gateways and registry hosts. SALTVANE_SEEDS
// sets the number of seeds.
TEST(DrawnRestartTest, TargetsAreNotFlooded) { playDrawnRestarts({}); }

// Guards against floods of targets whose first report after a restart is lost, because they are cut off.
TEST(DrawnRestartTest, TargetsThatAreCutOffAreNotFlooded) { playDrawnRestarts({.areCutOff = true}); }

// Guards against floods of restarted targets that state their start, in the same trouble.
TEST(DrawnRestartOfStatedStartTest, TargetsAreNotFlooded) { playDrawnRestarts({.statesStart = true}); }

// Guards against floods of targets whose first report, which states their start, is lost, because they are cut off.
TEST(DrawnRestartOfStatedStartTest, TargetsThatAreCutOffAreNotFlooded)
{
    playDrawnRestarts({.statesStart = true, .areCutOff = true});
}

// Guards against floods of restarted targets that registry hosts list from their disks after a common restart: what
// gateways told them of refused connections meanwhile is lost.
TEST(RecalledTargetTest, IsNotFloodedWhereItRefusedGateways)
{
    for (const bool reportsToAnyRegistry : {false, true})
        expectNoFloodOfRecalled({.targets = {.reportsToAnyRegistry = reportsToAnyRegistry},
            .crashAfter = 800ms,
            .downtime = ShortCrash,
            .hostsDowntime = 2s});
}

// Guards against the same where the targets are back long before the registry hosts.
TEST(RecalledTargetTest, IsNotFloodedAfterALongStopOfTheHosts)
{
    for (const bool reportsToAnyRegistry : {false, true})
        expectNoFloodOfRecalled({.targets = {.reportsToAnyRegistry = reportsToAnyRegistry},
            .crashAfter = 800ms,
            .downtime = ShortCrash,
            .hostsDowntime = 4s});
}

// Guards against the same where the targets are back before most gateways try them.
TEST(RecalledTargetTest, IsNotFloodedAfterABriefCrash)
{
    for (const bool reportsToAnyRegistry : {false, true}) {
        for (const Duration downtime : {200ms, 700ms})
            expectNoFloodOfRecalled({.targets = {.reportsToAnyRegistry = reportsToAnyRegistry},
                .crashAfter = 800ms,
                .downtime = downtime,
                .hostsDowntime = 2s});
    }
}

// Guards against the same where no gateway remembers a refusal.
TEST(RecalledTargetTest, IsNotFloodedWhereGatewaysRestartAsWell)
{
    for (const bool reportsToAnyRegistry : {false, true})
        expectNoFloodOfRecalled({.targets = {.reportsToAnyRegistry = reportsToAnyRegistry},
            .crashAfter = 800ms,
            .downtime = ShortCrash,
            .hostsDowntime = 2s,
            .doGatewaysRestart = true});
}

// Guards against gateways that take targets for restarted ones because another gateway's connections are refused.
TEST(RefusedGatewayTest, CallersOfOtherGatewaysAreServedAsBefore)
{
    for (const std::vector<size_t>& partitioned : {std::vector<size_t> {0}, std::vector<size_t> {0, 1, 2, 3}}) {
        for (const bool statesStart : {false, true})
            expectOthersServed(partitioned, {.statesStart = statesStart});
    }
}

} // namespace saltvane::fleet::test
