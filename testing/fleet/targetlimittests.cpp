/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fatalfleet.h"
#include "limitledger.h"

#include <cstdlib>
#include <gtest/gtest.h>

namespace saltvane::fleet::test {

namespace {

constexpr size_t Targets = 24;

/// As many gateways as the largest deployment of the small sites has, in every run.
FatalFleet makeFleet(unsigned int seed, size_t gateways)
{
    return FatalFleet(seed, {.count = Targets}, {.gateways = gateways}, {.perSecond = 144, .haveObjects = true});
}

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

} // namespace saltvane::fleet::test
