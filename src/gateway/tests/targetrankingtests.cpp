/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetranking.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>

namespace saltvane::gateway::test {

namespace {

std::unique_ptr<GatewayTarget> makeTarget(uint64_t number)
{
    auto target = std::make_unique<GatewayTarget>();
    target->record.target = TargetId("t-" + std::to_string(number));
    target->record.slots = 3 + number % 7;
    target->hash = model::targetHash(target->record.target);
    return target;
}

std::vector<const GatewayTarget*> targetsOf(std::span<const TargetRanking::Ranked> ranked)
{
    std::vector<const GatewayTarget*> targets;
    for (const TargetRanking::Ranked& entry : ranked)
        targets.push_back(entry.target);
    return targets;
}

} // namespace

// Targets are added and removed in any order: the cached ranking equals a ranking of all targets from scratch.
TEST(TargetRankingTest, CachedRankingMatchesFreshRanking)
{
    boost::random::mt19937_64 random(3);
    TargetRanking cached;
    std::vector<std::unique_ptr<GatewayTarget>> targets;
    for (uint64_t step = 0; step < 400; ++step) {
        const bool isAdded = targets.empty() || random() % 5 < 3;
        if (isAdded) {
            targets.push_back(makeTarget(step));
            cached.add(*targets.back(), Proximity::Remote);
        } else {
            const size_t at = random() % targets.size();
            cached.remove(*targets[at], Proximity::Remote);
            targets.erase(targets.begin() + static_cast<ptrdiff_t>(at));
        }
        TargetRanking fresh;
        for (const auto& target : targets)
            fresh.add(*target, Proximity::Remote);
        for (uint64_t object = 0; object < 20; ++object) {
            const auto expected = targetsOf(fresh.best(object, Proximity::Remote));
            const auto found = targetsOf(cached.best(object, Proximity::Remote));
            ASSERT_GE(found.size(), std::min(expected.size(), TargetRanking::MaxRanked / 2));
            ASSERT_TRUE(std::equal(found.begin(), found.end(), expected.begin())) << "step " << step;
        }
    }
}

TEST(TargetRankingTest, ObjectsAreProportionalToSlots)
{
    TargetRanking ranking;
    std::vector<std::unique_ptr<GatewayTarget>> targets;
    for (uint64_t i = 0; i < 50; ++i) {
        targets.push_back(makeTarget(i));
        targets.back()->record.slots = i < 25 ? 9 : 3;
        ranking.add(*targets.back(), Proximity::Region);
    }
    int atLargeTargets = 0;
    constexpr uint64_t Objects = 4000;
    for (uint64_t object = 0; object < Objects; ++object)
        atLargeTargets += ranking.best(object, Proximity::Region).front().target->record.slots == 9 ? 1 : 0;
    EXPECT_NEAR(atLargeTargets, Objects * 0.75, Objects * 0.04);
}

TEST(TargetRankingTest, RequestsWithoutObjectReachAllTargets)
{
    boost::random::mt19937_64 random(5);
    TargetRanking ranking;
    std::vector<std::unique_ptr<GatewayTarget>> targets;
    for (uint64_t i = 0; i < 60; ++i) {
        targets.push_back(makeTarget(i));
        ranking.add(*targets.back(), Proximity::Zone);
    }
    std::set<const GatewayTarget*> reached;
    for (int i = 0; i < 2000; ++i)
        reached.insert(ranking.sample(Proximity::Zone, random).front().target);
    EXPECT_EQ(reached.size(), targets.size());
}

} // namespace saltvane::gateway::test
