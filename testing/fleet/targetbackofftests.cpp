/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "restledger.h"
#include "trafficfleet.h"

#include <gtest/gtest.h>

namespace saltvane::fleet::test {

namespace {

constexpr size_t Targets = 24;
constexpr size_t BackingOff = 8;

} // namespace

// Guards against gateways that go on sending requests to targets that requested a backoff.
TEST(TargetBackoffTest, TargetsThatRequestABackoffGetNothingUntilItEnds)
{
    for (const size_t gateways : {size_t {9}, size_t {89}}) {
        TrafficFleet fleet(
            3, {.count = Targets}, {.gateways = gateways}, {.requestsPerSecond = 144, .haveObjects = true});
        RestLedger ledger(fleet.fleet(), fleet.targets());
        fleet.run(4s);
        fleet.clearTally();
        for (size_t target = 0; target < BackingOff; ++target)
            fleet.targets().setSignals(target, {.backoff = 3s});
        fleet.run(9s);
        EXPECT_EQ(ledger.maxExcess(), 0U) << gateways << " gateways";
        EXPECT_GT(ledger.backoffs(), BackingOff) << gateways << " gateways";
    }
}

// Guards against callers that wait while all targets back off, or that are told to retry before any target accepts
// requests again.
TEST(TargetBackoffTest, WhereAllBackOffRequestsAreRefusedAtOnceUntilTheFirstAcceptsThem)
{
    TrafficFleet fleet(4, {.count = 3}, {.gateways = 1}, {.requestsPerSecond = 30});
    fleet.run(2s);
    for (size_t target = 0; target < 3; ++target)
        fleet.targets().setSignals(target, {.backoff = 2s});
    fleet.run(1s);
    const uint64_t refused = fleet.sendRequest(0, {.path = "/read/refused"});
    fleet.run(50ms);
    const TrafficFleet::Outcome outcome = fleet.outcomeOf(refused);
    EXPECT_EQ(outcome.status, 503);
    EXPECT_EQ(outcome.reason, "back-pressure");
    EXPECT_GT(outcome.retryAfter, 0.5);
    EXPECT_LE(outcome.retryAfter, 2.5);
    for (size_t target = 0; target < 3; ++target)
        fleet.targets().setSignals(target, {});
    fleet.run(2s);
    fleet.clearTally();
    fleet.run(2s);
    EXPECT_EQ(fleet.tally().served, fleet.tally().requested);
}

} // namespace saltvane::fleet::test
