/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/fakecluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ranges>

namespace saltvane::control::test {

// Found on the users' bench (incident inc-4403): after all hosts had been killed at once, candidates of far regions
// split their votes, and there was no leader for 2.3 s; nothing could be served meanwhile.
TEST(ElectionTest, AfterAllWereKilledALeaderIsElectedSoon)
{
    constexpr size_t AllHosts = 6;
    constexpr uint64_t Seeds = 40;
    Duration sum {};
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        FakeCluster cluster({.seed = seed, .hosts = AllHosts, .leastDelay = 34ms, .mostDelay = 36ms});
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }));
        cluster.run(2s);
        for (size_t number = 0; number < AllHosts; ++number)
            cluster.crash(number);
        cluster.run(1s);
        for (size_t number = 0; number < AllHosts; ++number)
            cluster.start(number);
        const Timestamp startedAt = cluster.now();
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; })) << "seed " << seed;
        sum += cluster.now() - startedAt;
    }
    const double mean = toSeconds(sum) / static_cast<double>(Seeds);
    RecordProperty("mean_seconds", std::to_string(mean));
    EXPECT_LT(mean, 1.15);
}

namespace {

constexpr size_t Hosts = 6;
constexpr Duration OneWay = 35ms; ///< Between far regions.

FakeClusterOptions farHosts(uint64_t seed)
{
    return {.seed = seed, .hosts = Hosts, .leastDelay = OneWay - 1ms, .mostDelay = OneWay + 1ms};
}

/// All processes end at once and are back one after the other within half a second.
void restartAll(FakeCluster& cluster)
{
    constexpr Duration LastStart = 500ms;
    for (size_t number = 0; number < Hosts; ++number)
        cluster.crash(number);
    cluster.run(700ms);
    for (size_t number = 0; number < Hosts; ++number) {
        cluster.start(number);
        cluster.run(LastStart / Hosts);
    }
}

} // namespace

// The pattern: every host lost power at once; callers are refused until a leader stands. Four messages one way (tell,
// answer, vote, its answer), two for the first entry, and the writes: eight times the one-way delay at most, where the
// waits of hosts that start alone take 0.6 to 1.4 s.
TEST(ElectionTest, AfterACommonRestartALeaderStandsWithinRoundTrips)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        FakeCluster cluster(farHosts(seed));
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }));
        cluster.run(2s);
        restartAll(cluster);
        const Timestamp startedAt = cluster.now();
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; })) << "seed " << seed;
        EXPECT_LT(cluster.now() - startedAt, 8 * OneWay) << "seed " << seed;
    }
}

TEST(ElectionTest, AHostThatLostItsDiskInTheCommonRestartDelaysNobody)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        FakeCluster cluster(farHosts(seed));
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }));
        cluster.run(2s);
        for (size_t number = 0; number < Hosts; ++number)
            cluster.crash(number);
        cluster.replaceDisk(seed % Hosts);
        cluster.run(700ms);
        for (size_t number = 0; number < Hosts; ++number)
            cluster.start(number);
        const Timestamp startedAt = cluster.now();
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; })) << "seed " << seed;
        EXPECT_LT(cluster.now() - startedAt, 8 * OneWay) << "seed " << seed;
    }
}

TEST(ElectionTest, ALeaderThatLivesIsNotReplacedWhenAllOthersRestart)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        FakeCluster cluster(farHosts(seed));
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }));
        cluster.run(2s);
        FakeHost* const leader = cluster.leader();
        const size_t leading = cluster.numberOf(*leader);
        const LogTerm term = leader->replica->term();
        for (size_t number = 0; number < Hosts; ++number) {
            if (number != leading)
                cluster.crash(number);
        }
        for (size_t number = 0; number < Hosts; ++number) {
            if (number != leading)
                cluster.start(number);
        }
        // The lease that they acknowledged before must have ended when another one leads.
        const Timestamp startedAt = cluster.now();
        const bool isReplaced = cluster.runUntil(
            [&] {
                return std::ranges::any_of(std::views::iota(size_t {0}, Hosts),
                    [&](size_t number) { return number != leading && cluster.host(number).replica->isLeader(); });
            },
            600ms);
        EXPECT_FALSE(isReplaced) << "seed " << seed << " after " << toSeconds(cluster.now() - startedAt);
        EXPECT_EQ(cluster.host(leading).replica->term(), term) << "seed " << seed;
    }
}

} // namespace saltvane::control::test
