/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "slowstartledger.h"
#include "trafficfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
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

// Guards against records of the former registry host that outlive the former start.
TEST(RestartedTargetTest, IsNotFloodedWhereItReportsToAnotherRegistryHost)
{
    for (const Duration downtime : {ShortCrash, LongCrash})
        expectNoFlood({.targets = {.statesStart = false, .reportsToAnyRegistry = true}, .downtime = downtime});
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

// Guards against gateways that take targets for restarted ones because another gateway's connections are refused.
TEST(RefusedGatewayTest, CallersOfOtherGatewaysAreServedAsBefore)
{
    for (const std::vector<size_t>& partitioned : {std::vector<size_t> {0}, std::vector<size_t> {0, 1, 2, 3}}) {
        for (const bool statesStart : {false, true})
            expectOthersServed(partitioned, {.statesStart = statesStart});
    }
}

} // namespace saltvane::fleet::test
