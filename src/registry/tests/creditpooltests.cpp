/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "creditpoolfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace saltvane::registry::test {

namespace {

const std::vector<double> Even(6, 1.0);

} // namespace

TEST(CreditPoolTest, UsualDemandOfASmallAccountIsServedWhole)
{
    CreditFleet fleet({});
    load(fleet, 10, Even, 60s);
    fleet.advance(1s);
    EXPECT_LE(static_cast<double>(fleet.refused), 0.02 * static_cast<double>(fleet.askedInAll));
}

/// Four of five callers of one zone move to another one: what the others hold follows them.
TEST(CreditPoolTest, ACrowdThatMovesToOneZoneIsServedWhole)
{
    CreditFleet fleet({.limit = {.perSecond = 160, .burst = 160}});
    load(fleet, 100, Even, 5s);
    load(fleet, 100, {1, 1, 0.2, 1.8, 1, 1}, 30s);
    load(fleet, 100, {0, 0, 0, 1, 0, 0}, 30s);
    fleet.advance(1s);
    EXPECT_LE(static_cast<double>(fleet.refused), 0.02 * static_cast<double>(fleet.askedInAll));
    EXPECT_LE(fleet.mostInWindow(), bound({.perSecond = 160, .burst = 160}));
}

TEST(CreditPoolTest, OfThreeTimesTheLimitTheLimitIsServedAndTheRestIsToldSpreadTimes)
{
    const model::RateLimit limit {.perSecond = 50, .burst = 50};
    CreditFleet fleet({.limit = limit});
    load(fleet, 150, Even, 30s);
    fleet.advance(1s);
    EXPECT_GE(static_cast<double>(fleet.given), limit.perSecond * 30 * 0.95);
    EXPECT_LE(fleet.mostInWindow(), bound(limit));
    const auto [least, most] = std::ranges::minmax(fleet.retryAfters);
    EXPECT_GT(least, 0s);
    EXPECT_GE(most, 1s);
}

TEST(CreditPoolTest, WithoutABurstOneRequestAtATimeStillFits)
{
    CreditFleet fleet({.limit = {.perSecond = 10, .burst = 0}});
    load(fleet, 4, Even, 30s);
    fleet.advance(1s);
    EXPECT_LE(static_cast<double>(fleet.refused), 0.35 * static_cast<double>(fleet.askedInAll));
    EXPECT_LE(fleet.mostInWindow(), bound({.perSecond = 10, .burst = 0}));
}

TEST(CreditPoolTest, AHostThatStartsAnewHoldsNothing)
{
    CreditFleet fleet({.pools = 1, .limit = {.perSecond = 10, .burst = 100}});
    fleet.restart(0);
    for (int i = 0; i < 50; ++i)
        fleet.ask(0);
    fleet.advance(100ms);
    EXPECT_LE(fleet.given, 2U);
}

/// Guards against two holders of one share: a host that is cut off does not hear that it was taken out of the group.
TEST(CreditPoolTest, TheShareOfAHostThatLeftIsNobodysUntilItsLeaseIsOver)
{
    constexpr double Rate = 60;
    const auto givenBy = [&](CreditPool& pool, Timestamp now) {
        uint32_t given = 0;
        for (uint64_t ask = 1; ask <= 100; ++ask)
            pool.handle(gatewayHost(0), {.asks = {{.ask = ask, .limit = AccountLimit, .credits = 1}}}, now);
        for (const model::Outgoing& outgoing : pool.takeOutgoing()) {
            if (const auto* reply = std::get_if<model::LimitCreditReply>(&outgoing.message)) {
                for (const model::LimitCreditAnswer& answer : reply->answers)
                    given += answer.credits;
            }
        }
        return given;
    };
    Timestamp now {100s};
    CreditPool staying(registryHost(0), now);
    CreditPool cutOff(registryHost(1), now);
    for (CreditPool* pool : {&staying, &cutOff}) {
        const model::RateLimit limit {.perSecond = Rate, .burst = Rate};
        pool->limits().install(std::vector {model::makeAccount({.name = Account, .keys = {"k"}, .limit = limit})});
        EXPECT_EQ(givenBy(*pool, now), 0U); // Without a proof nobody knows its share.
        pool->setHolders({registryHost(0), registryHost(1)}, 0s, now);
    }
    for (; now < Timestamp {100s} + CreditPool::LeaseTime * 2; now += 1s) {
        staying.setHolders({registryHost(0)}, 0s, now);
        cutOff.setHolders({registryHost(0), registryHost(1)}, now - Timestamp {100s}, now);
        EXPECT_LE(givenBy(staying, now) + givenBy(cutOff, now), static_cast<uint32_t>(Rate))
            << toSeconds(now - Timestamp {});
    }
    EXPECT_EQ(givenBy(staying, now), static_cast<uint32_t>(Rate));
}

TEST(CreditPoolTest, AnUnknownAccountIsNoRefusal)
{
    CreditPool pool(registryHost(0), Timestamp {1s});
    pool.handle(gatewayHost(0), {.asks = {{.ask = 3, .limit = AccountLimit, .credits = 1}}}, Timestamp {2s});
    const std::vector<model::Outgoing> outgoing = pool.takeOutgoing();
    ASSERT_EQ(outgoing.size(), 1U);
    const auto& reply = std::get<model::LimitCreditReply>(outgoing[0].message);
    ASSERT_EQ(reply.answers.size(), 1U);
    EXPECT_EQ(reply.answers[0], (model::LimitCreditAnswer {.ask = 3}));
}

/// Drawn cuts, pauses, restarts, lost messages, moving crowds and changed limits: no five seconds hold more runs than
/// the limit that was the highest lately allows. SALTVANE_SEEDS plays more of them.
TEST(DrawnCreditTest, NoTroubleHasTheFleetRunMoreThanTheLimit)
{
    const char* const wanted = std::getenv("SALTVANE_SEEDS");
    const uint64_t seeds = wanted == nullptr ? 200 : std::stoull(wanted);
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&](size_t below) { return random() % below; };
        const double rate = std::vector<double> {4, 16, 100, 440}[draw(4)];
        const model::RateLimit limit {.perSecond = rate, .burst = std::vector<double> {0, rate, rate * 2}[draw(3)]};
        CreditFleet fleet({.pools = 1 + draw(9), .limit = limit, .seed = seed});
        for (int step = 0; step < 12; ++step) {
            switch (draw(6)) {
            case 0:
                fleet.restart(draw(fleet.pools()));
                break;
            case 1: {
                std::set<size_t> side;
                for (size_t i = 0; i < fleet.pools(); ++i) {
                    if (draw(2) == 0)
                        side.insert(i);
                }
                fleet.cut(side);
                break;
            }
            case 2:
                fleet.cut({});
                break;
            case 3:
                fleet.pause(draw(fleet.pools()), 1s * static_cast<int64_t>(1 + draw(4)));
                break;
            case 4: // Never above the first one, by which the runs are judged.
                fleet.setLimit({.perSecond = limit.perSecond * 0.5, .burst = limit.burst * 0.5});
                break;
            default:
                fleet.setLimit(limit);
                break;
            }
            std::vector<double> weights;
            for (size_t i = 0; i < fleet.pools(); ++i)
                weights.push_back(static_cast<double>(draw(4)));
            weights[draw(weights.size())] += 1;
            load(fleet, limit.perSecond * std::vector<double> {0.3, 1, 4}[draw(3)], weights, 2s);
        }
        fleet.advance(1s);
        ASSERT_LE(fleet.mostInWindow(), bound(limit))
            << "seed " << seed << " rate " << limit.perSecond << " burst " << limit.burst;
    }
}

TEST(CreditPoolTest, ALowerLimitHoldsOneWindowLater)
{
    const model::RateLimit lower {.perSecond = 20, .burst = 20};
    CreditFleet fleet({.limit = {.perSecond = 200, .burst = 200}});
    load(fleet, 150, Even, 10s);
    fleet.setLimit(lower);
    load(fleet, 150, Even, 5s);
    const size_t before = fleet.given;
    load(fleet, 150, Even, 5s);
    EXPECT_LE(static_cast<double>(fleet.given - before), bound(lower));
}

} // namespace saltvane::registry::test
