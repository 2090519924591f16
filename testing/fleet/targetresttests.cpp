/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fatalfleet.h"
#include "restledger.h"

#include <gtest/gtest.h>

namespace saltvane::fleet::test {

namespace {

constexpr size_t Targets = 24;
constexpr size_t Resting = 8;

} // namespace

// Guards against targets that ask a gateway for rest being sent its next requests.
TEST(TargetRestTest, TargetsThatAskForRestGetNothingUntilItEnds)
{
    for (const size_t gateways : {size_t {9}, size_t {89}}) {
        FatalFleet fleet(3, {.count = Targets}, {.gateways = gateways}, {.perSecond = 144, .haveObjects = true});
        RestLedger ledger(fleet.fleet(), fleet.targets());
        fleet.run(4s);
        fleet.clearTally();
        for (size_t target = 0; target < Resting; ++target)
            fleet.targets().setNeeds(target, {.rest = 3s});
        fleet.run(9s);
        EXPECT_EQ(ledger.mostBeyond(), 0U) << gateways << " gateways";
        EXPECT_GT(ledger.rests(), Resting) << gateways << " gateways";
    }
}

// Guards against callers waiting, or being told to come back before any target takes requests again.
TEST(TargetRestTest, WhereAllRestRequestsAreRefusedAtOnceUntilTheFirstTakesThemAgain)
{
    FatalFleet fleet(4, {.count = 3}, {.gateways = 1}, {.perSecond = 30});
    fleet.run(2s);
    for (size_t target = 0; target < 3; ++target)
        fleet.targets().setNeeds(target, {.rest = 2s});
    fleet.run(1s);
    const uint64_t refused = fleet.ask(0, {.path = "/read/refused"});
    fleet.run(50ms);
    const FatalFleet::Outcome outcome = fleet.outcomeOf(refused);
    EXPECT_EQ(outcome.status, 503);
    EXPECT_EQ(outcome.reason, "back-pressure");
    EXPECT_GT(outcome.retryAfter, 0.5);
    EXPECT_LE(outcome.retryAfter, 2.5);
    for (size_t target = 0; target < 3; ++target)
        fleet.targets().setNeeds(target, {});
    fleet.run(2s);
    fleet.clearTally();
    fleet.run(2s);
    EXPECT_EQ(fleet.tally().served, fleet.tally().asked);
}

} // namespace saltvane::fleet::test
