/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "creditpoolfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
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
        pool->limits().install(
            std::vector {model::makeAccount({.name = Account, .keys = {"k"}, .limit = limit})}, {.index = {1}});
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

// Guards against registry hosts that are cut off and grant credits by a limit that was lowered meanwhile.
TEST(CreditPoolTest, LoweredLimitBindsHostsThatAreCutOff)
{
    const model::RateLimit lower {.perSecond = 20, .burst = 20};
    const std::vector<double> crowdAtCutOffHosts {10, 10, 1, 1, 1, 1};
    CreditPoolFleet fleet({.limit = {.perSecond = 240, .burst = 240}});
    load(fleet, 128, crowdAtCutOffHosts, 5s);
    fleet.cut({0, 1});
    fleet.setLimitBeyondCut(lower);
    load(fleet, 128, crowdAtCutOffHosts, 5s);
    const Timestamp bindingFrom = fleet.now();
    const size_t before = fleet.granted;
    load(fleet, 128, crowdAtCutOffHosts, 15s);
    EXPECT_LE(fleet.maxGrantedInWindow(bindingFrom), bound(lower));
    // All hosts grant their shares, whatever side the callers are on.
    EXPECT_GE(static_cast<double>(fleet.granted - before), 0.8 * lower.perSecond * 15);
}

// Guards against holders that no gateway asks, and that pass on credits by a limit that was lowered.
TEST(CreditPoolTest, LoweredLimitBindsHoldersThatOnlyOtherHoldersAsk)
{
    const model::RateLimit lower {.perSecond = 20, .burst = 20};
    const std::vector<double> crowdAtOneHost {1, 0, 0, 0, 0, 0};
    CreditPoolFleet fleet({.limit = {.perSecond = 480, .burst = 480}});
    fleet.cut({0, 1, 2});
    fleet.setLimitBeyondCut(lower);
    load(fleet, 200, crowdAtOneHost, 5s);
    const Timestamp bindingFrom = fleet.now();
    load(fleet, 200, crowdAtOneHost, 15s);
    EXPECT_LE(fleet.maxGrantedInWindow(bindingFrom), bound(lower));
}

// Guards against registry hosts that are cut off and refuse what a raised limit allows.
TEST(CreditPoolTest, RaisedLimitAppliesAtHostsThatAreCutOff)
{
    const model::RateLimit higher {.perSecond = 240, .burst = 240};
    CreditPoolFleet fleet({.limit = {.perSecond = 20, .burst = 20}});
    fleet.cut({0, 1});
    fleet.setLimitBeyondCut(higher);
    load(fleet, 100, Even, 10s);
    EXPECT_LE(static_cast<double>(fleet.refused), 0.02 * static_cast<double>(fleet.requested));
    EXPECT_LE(fleet.maxGrantedInWindow(), bound(higher));
}

// Guards against a host that is cut off and grants credits of a target by a limit that the target has lowered.
TEST(CreditPoolTest, LoweredTargetLimitBindsHostsThatAreCutOff)
{
    const model::TargetIncarnation limitedTarget {.target = TargetId("t-1"), .incarnation = {3}};
    const auto noticeOf = [&](double limit, Duration age) {
        return model::BackpressureNotice {.target = limitedTarget, .limit = limit, .age = age};
    };
    Timestamp now {100s};
    CreditPool pool(registryHost(0), now);
    pool.setHolders({registryHost(0)}, 0s, now);
    pool.recordTargetLimits(gatewayHost(0), std::vector {noticeOf(20, 0s)}, now);
    uint32_t granted = 0;
    for (uint64_t ask = 1; ask <= 50; ++ask) {
        now += 100ms;
        pool.handle(gatewayHost(0),
            {.asks = {{.ask = ask, .limit = model::limitIdOf(limitedTarget), .credits = 1}},
                .targetLimits = {noticeOf(2, 50ms)}},
            now);
        for (const model::OutgoingMessage& outgoing : pool.drainOutgoing()) {
            if (const auto* reply = std::get_if<model::LimitCreditReply>(&outgoing.message))
                granted += reply->answers[0].credits;
        }
    }
    EXPECT_GE(granted, 10U);
    EXPECT_LE(granted, 13U); // Five seconds at 2 per second, and the burst.
    // A limit that was stated before the known one is answered with the newer one.
    pool.handle(gatewayHost(0), {.targetLimits = {noticeOf(20, 5s)}}, now);
    const std::vector<model::OutgoingMessage> outgoing = pool.drainOutgoing();
    ASSERT_EQ(outgoing.size(), 1U);
    EXPECT_EQ(std::get<model::BackpressureReport>(outgoing[0].message).notices[0].limit, 2);
}

namespace {

/// One of two holders of a limit, without credits of its own, at which a gateway asks for credits.
class AskingPool {
public:
    AskingPool()
    {
        refresh();
        pool_.setPeers({{.host = registryHost(1)}});
    }
    void setLimit(std::optional<double> limit)
    {
        const model::BackpressureNotice notice {.target = target_, .limit = limit};
        pool_.recordTargetLimits(gatewayHost(0), std::vector {notice}, now_);
        now_ += 10ms;
    }
    /// Whether the request makes the pool ask the other holder for a credit.
    [[nodiscard]] bool isOtherHolderAsked()
    {
        (void)pool_.drainOutgoing();
        pool_.handle(
            gatewayHost(0), {.asks = {{.ask = ++lastAsk_, .limit = model::limitIdOf(target_), .credits = 1}}}, now_);
        const std::vector<model::OutgoingMessage> outgoing = pool_.drainOutgoing();
        return std::ranges::any_of(
            outgoing, [](const model::OutgoingMessage& message) { return message.to == registryHost(1); });
    }
    void advance(Duration duration)
    {
        for (const Timestamp end = now_ + duration; now_ < end; now_ += 10ms)
            pool_.tick(now_);
    }
    void refresh() { pool_.setHolders({registryHost(0), registryHost(1)}, 0s, now_); }
    /// Skips the credits that this pool holds itself, if it is the one holder of this target's limit.
    [[nodiscard]] bool selectTargetOfOtherHolder()
    {
        for (int number = 0; number < 20; ++number) {
            target_ = {.target = TargetId("t-" + std::to_string(number)), .incarnation = {3}};
            setLimit(0.4);
            if (isOtherHolderAsked())
                return true;
        }
        return false;
    }

private:
    model::TargetIncarnation target_;
    Timestamp now_ {100s};
    CreditPool pool_ {registryHost(0), now_ - 20s};
    uint64_t lastAsk_ = 0;
};

} // namespace

// Guards against a registry host that grants no credits of a limit any more, since the limit was lifted for a moment
// while another holder was asked for credits.
TEST(CreditPoolTest, OtherHoldersAreAskedAgainAfterALimitWasLifted)
{
    AskingPool pool;
    ASSERT_TRUE(pool.selectTargetOfOtherHolder());
    pool.setLimit(std::nullopt);
    pool.advance(1s);
    pool.setLimit(0.4);
    EXPECT_TRUE(pool.isOtherHolderAsked());
}

// Guards against the same after the registry host's lease had expired while another holder was asked.
TEST(CreditPoolTest, OtherHoldersAreAskedAgainAfterALeaseExpired)
{
    AskingPool pool;
    pool.advance(CreditPool::LeaseDuration * 4 / 5 - 50ms);
    ASSERT_TRUE(pool.selectTargetOfOtherHolder());
    pool.advance(1s);
    pool.refresh();
    EXPECT_TRUE(pool.isOtherHolderAsked());
}

// Guards against a notice of an older plan that replaces a newer limit.
TEST(CreditPoolTest, NoticesOfOlderPlansAreIgnored)
{
    AccountLimits limits;
    const auto accountsWith = [](double rate) {
        return std::vector {model::makeAccount({.name = Account, .keys = {"k"}, .limit = {{.perSecond = rate}}})};
    };
    const auto noticeOf = [](double rate, uint64_t index) {
        return model::AccountLimitNotice {
            .limit = AccountLimit, .rate = {.perSecond = rate}, .plan = {.index = {index}}};
    };
    const auto rate = [&limits] { return limits.find(AccountLimit)->perSecond; };
    limits.install(accountsWith(10), {.index = {5}});
    limits.record(noticeOf(11, 4));
    EXPECT_EQ(rate(), 10);
    limits.record(noticeOf(12, 7));
    limits.record(noticeOf(13, 6));
    EXPECT_EQ(rate(), 12);
    limits.install(accountsWith(14), {.index = {6}});
    EXPECT_EQ(rate(), 12);
    limits.install(accountsWith(15), {.index = {8}});
    EXPECT_EQ(rate(), 15);
}

// Guards against any partition in which registry hosts that plans don't reach grant more than the newest limit. Limits
// are lowered and raised several times in a row, and hosts restart meanwhile.
TEST(RandomizedCreditTest, NewestLimitBindsAllSidesOfPartitions)
{
    const char* const seedCount = std::getenv("SALTVANE_SEEDS");
    const uint64_t seeds = seedCount == nullptr ? 100 : std::stoull(seedCount);
    const model::RateLimit high {.perSecond = 240, .burst = 240};
    double served = 0;
    double allowed = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937 random(seed);
        CreditPoolFleet fleet({.pools = 3 + random() % 7, .limit = high, .seed = seed});
        std::set<size_t> side;
        for (size_t i = 0; i < fleet.pools(); ++i) {
            if (random() % 2 == 0)
                side.insert(i);
        }
        std::vector<double> weights;
        for (size_t i = 0; i < fleet.pools(); ++i)
            weights.push_back(side.contains(i) ? 1 + random() % 9 : random() % 2 + 0.1);
        load(fleet, 100, weights, 3s);
        fleet.cut(side);
        model::RateLimit limit = high;
        for (size_t change = 0; change < 1 + random() % 3; ++change) {
            limit.perSecond = std::vector<double> {2, 20, 60}[random() % 3];
            limit.burst = limit.perSecond * static_cast<double>(random() % 3);
            fleet.setLimitBeyondCut(limit);
            load(fleet, 100, weights, 500ms * static_cast<int64_t>(1 + random() % 4));
            if (random() % 4 == 0)
                fleet.restart(random() % fleet.pools());
        }
        load(fleet, 100, weights, 5s);
        const Timestamp bindingFrom = fleet.now();
        const size_t before = fleet.granted;
        load(fleet, 100, weights, 10s);
        served += static_cast<double>(fleet.granted - before);
        allowed += limit.perSecond * 10;
        fleet.heal();
        load(fleet, 100, weights, 6s);
        ASSERT_LE(fleet.maxGrantedInWindow(bindingFrom), bound(limit))
            << "seed " << seed << " rate " << limit.perSecond << " burst " << limit.burst;
    }
    std::cout << seeds << " seeds: " << served / allowed << " of the limits was used\n";
}

} // namespace saltvane::registry::test
