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

TEST(CreditPoolTest, TypicalDemandOfSmallAccountIsFullyGranted)
{
    CreditPoolFleet fleet({});
    load(fleet, 10, Even, 60s);
    fleet.advance(1s);
    EXPECT_LE(static_cast<double>(fleet.refused), 0.02 * static_cast<double>(fleet.requested));
}

/// When the callers move to another zone, the other hosts' shares of the limit must follow them.
TEST(CreditPoolTest, LoadThatMovesToOneZoneIsFullyGranted)
{
    CreditPoolFleet fleet({.limit = {.perSecond = 160, .burst = 160}});
    load(fleet, 100, Even, 5s);
    load(fleet, 100, {1, 1, 0.2, 1.8, 1, 1}, 30s);
    load(fleet, 100, {0, 0, 0, 1, 0, 0}, 30s);
    fleet.advance(1s);
    EXPECT_LE(static_cast<double>(fleet.refused), 0.02 * static_cast<double>(fleet.requested));
    EXPECT_LE(fleet.maxGrantedInWindow(), bound({.perSecond = 160, .burst = 160}));
}

TEST(CreditPoolTest, OverloadIsGrantedUpToTheLimitAndRetriesAreSpread)
{
    const model::RateLimit limit {.perSecond = 50, .burst = 50};
    CreditPoolFleet fleet({.limit = limit});
    load(fleet, 150, Even, 30s);
    fleet.advance(1s);
    EXPECT_GE(static_cast<double>(fleet.granted), limit.perSecond * 30 * 0.95);
    EXPECT_LE(fleet.maxGrantedInWindow(), bound(limit));
    const auto [shortest, longest] = std::ranges::minmax(fleet.retryAfters);
    EXPECT_GT(shortest, 0s);
    EXPECT_GE(longest, 1s);
}

TEST(CreditPoolTest, LimitWithoutBurstAdmitsSingleRequests)
{
    CreditPoolFleet fleet({.limit = {.perSecond = 10, .burst = 0}});
    load(fleet, 4, Even, 30s);
    fleet.advance(1s);
    EXPECT_LE(static_cast<double>(fleet.refused), 0.35 * static_cast<double>(fleet.requested));
    EXPECT_LE(fleet.maxGrantedInWindow(), bound({.perSecond = 10, .burst = 0}));
}

TEST(CreditPoolTest, RestartedHostHasNoCredits)
{
    CreditPoolFleet fleet({.pools = 1, .limit = {.perSecond = 10, .burst = 100}});
    fleet.restart(0);
    for (int i = 0; i < 50; ++i)
        fleet.requestCredit(0);
    fleet.advance(100ms);
    EXPECT_LE(fleet.granted, 2U);
}

/// Guards against two hosts granting credits of one share: a host that is cut off doesn't learn that it was removed
/// from the group.
TEST(CreditPoolTest, ShareOfRemovedHostIsNotReassignedBeforeItsLeaseExpires)
{
    constexpr double Rate = 60;
    const auto grantedBy = [&](CreditPool& pool, Timestamp now) {
        uint32_t granted = 0;
        for (uint64_t ask = 1; ask <= 100; ++ask)
            pool.handle(gatewayHost(0), {.asks = {{.ask = ask, .limit = AccountLimit, .credits = 1}}}, now);
        for (const model::OutgoingMessage& outgoing : pool.drainOutgoing()) {
            if (const auto* reply = std::get_if<model::LimitCreditReply>(&outgoing.message)) {
                for (const model::LimitCreditAnswer& answer : reply->answers)
                    granted += answer.credits;
            }
        }
        return granted;
    };
    Timestamp now {100s};
    CreditPool remaining(registryHost(0), now);
    CreditPool cutOff(registryHost(1), now);
    for (CreditPool* pool : {&remaining, &cutOff}) {
        const model::RateLimit limit {.perSecond = Rate, .burst = Rate};
        pool->limits().install(std::vector {model::makeAccount({.name = Account, .keys = {"k"}, .limit = limit})});
        EXPECT_EQ(grantedBy(*pool, now), 0U); // Without a proof of membership a host has no share.
        pool->setHolders({registryHost(0), registryHost(1)}, 0s, now);
    }
    for (; now < Timestamp {100s} + CreditPool::LeaseDuration * 2; now += 1s) {
        remaining.setHolders({registryHost(0)}, 0s, now);
        cutOff.setHolders({registryHost(0), registryHost(1)}, now - Timestamp {100s}, now);
        EXPECT_LE(grantedBy(remaining, now) + grantedBy(cutOff, now), static_cast<uint32_t>(Rate))
            << toSeconds(now - Timestamp {});
    }
    EXPECT_EQ(grantedBy(remaining, now), static_cast<uint32_t>(Rate));
}

TEST(CreditPoolTest, UnknownAccountIsNotReportedAsRefusal)
{
    CreditPool pool(registryHost(0), Timestamp {1s});
    pool.handle(gatewayHost(0), {.asks = {{.ask = 3, .limit = AccountLimit, .credits = 1}}}, Timestamp {2s});
    const std::vector<model::OutgoingMessage> outgoing = pool.drainOutgoing();
    ASSERT_EQ(outgoing.size(), 1U);
    const auto& reply = std::get<model::LimitCreditReply>(outgoing[0].message);
    ASSERT_EQ(reply.answers.size(), 1U);
    EXPECT_EQ(reply.answers[0], (model::LimitCreditAnswer {.ask = 3}));
}

/// Random partitions, pauses, restarts, lost messages, moving load and changed limits: within any five seconds no more
/// credits are granted than the highest recent limit allows. SALTVANE_SEEDS sets the number of seeds.
TEST(RandomizedCreditTest, FaultsNeverLetTheFleetExceedTheLimit)
{
    const char* const seedCount = std::getenv("SALTVANE_SEEDS");
    const uint64_t seeds = seedCount == nullptr ? 200 : std::stoull(seedCount);
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937 random(seed);
        const auto randomBelow = [&](size_t bound) { return random() % bound; };
        const double rate = std::vector<double> {4, 16, 100, 440}[randomBelow(4)];
        const model::RateLimit limit {
            .perSecond = rate, .burst = std::vector<double> {0, rate, rate * 2}[randomBelow(3)]};
        CreditPoolFleet fleet({.pools = 1 + randomBelow(9), .limit = limit, .seed = seed});
        for (int step = 0; step < 12; ++step) {
            switch (randomBelow(6)) {
            case 0:
                fleet.restart(randomBelow(fleet.pools()));
                break;
            case 1: {
                std::set<size_t> side;
                for (size_t i = 0; i < fleet.pools(); ++i) {
                    if (randomBelow(2) == 0)
                        side.insert(i);
                }
                fleet.cut(side);
                break;
            }
            case 2:
                fleet.cut({});
                break;
            case 3:
                fleet.pause(randomBelow(fleet.pools()), 1s * static_cast<int64_t>(1 + randomBelow(4)));
                break;
            case 4: // Never above the first limit, which the test checks against.
                fleet.setLimit({.perSecond = limit.perSecond * 0.5, .burst = limit.burst * 0.5});
                break;
            default:
                fleet.setLimit(limit);
                break;
            }
            std::vector<double> weights;
            for (size_t i = 0; i < fleet.pools(); ++i)
                weights.push_back(static_cast<double>(randomBelow(4)));
            weights[randomBelow(weights.size())] += 1;
            load(fleet, limit.perSecond * std::vector<double> {0.3, 1, 4}[randomBelow(3)], weights, 2s);
        }
        fleet.advance(1s);
        ASSERT_LE(fleet.maxGrantedInWindow(), bound(limit))
            << "seed " << seed << " rate " << limit.perSecond << " burst " << limit.burst;
    }
}

TEST(CreditPoolTest, LoweredLimitAppliesWithinOneWindow)
{
    const model::RateLimit lower {.perSecond = 20, .burst = 20};
    CreditPoolFleet fleet({.limit = {.perSecond = 200, .burst = 200}});
    load(fleet, 150, Even, 10s);
    fleet.setLimit(lower);
    load(fleet, 150, Even, 5s);
    const size_t before = fleet.granted;
    load(fleet, 150, Even, 5s);
    EXPECT_LE(static_cast<double>(fleet.granted - before), bound(lower));
}

} // namespace saltvane::registry::test
