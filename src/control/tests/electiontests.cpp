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

// Guards against split votes after all processes were killed at once: candidates in distant regions split the votes,
// and without a leader for 2.3 s no requests were served.
TEST(ElectionTest, LeaderIsElectedSoonAfterAllProcessesWereKilled)
{
    constexpr size_t AllHosts = 6;
    constexpr uint64_t Seeds = 40;
    Duration sum {};
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        FakeCluster cluster({.seed = seed, .hosts = AllHosts, .minDelay = 34ms, .maxDelay = 36ms});
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
constexpr Duration OneWayDelay = 35ms; ///< Between distant regions.

FakeClusterOptions distantHosts(uint64_t seed)
{
    return {.seed = seed, .hosts = Hosts, .minDelay = OneWayDelay - 1ms, .maxDelay = OneWayDelay + 1ms};
}

/// Crashes all processes at once and restarts them one after the other within half a second.
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

// Guards against long unavailability after a power loss of all hosts: callers are refused until a leader is elected. An
// election takes six messages (start notice and its answer, vote request and its reply, the first entry and its
// acknowledgement) plus disk writes: at most eight one-way delays. The regular election timeouts take 0.6 to 1.4 s.
TEST(ElectionTest, LeaderIsElectedWithinRoundTripsAfterACommonRestart)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        FakeCluster cluster(distantHosts(seed));
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }));
        cluster.run(2s);
        restartAll(cluster);
        const Timestamp startedAt = cluster.now();
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; })) << "seed " << seed;
        EXPECT_LT(cluster.now() - startedAt, 8 * OneWayDelay) << "seed " << seed;
    }
}

TEST(ElectionTest, HostWithALostDiskDoesNotDelayACommonRestart)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        FakeCluster cluster(distantHosts(seed));
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
        EXPECT_LT(cluster.now() - startedAt, 8 * OneWayDelay) << "seed " << seed;
    }
}

TEST(ElectionTest, RunningLeaderIsNotReplacedWhenAllOthersRestart)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        FakeCluster cluster(distantHosts(seed));
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }));
        cluster.run(2s);
        FakeHost* const leader = cluster.leader();
        const size_t leaderNumber = cluster.numberOf(*leader);
        const LogTerm term = leader->replica->term();
        for (size_t number = 0; number < Hosts; ++number) {
            if (number != leaderNumber)
                cluster.crash(number);
        }
        for (size_t number = 0; number < Hosts; ++number) {
            if (number != leaderNumber)
                cluster.start(number);
        }
        // No other leader may be elected before the lease that they acknowledged has expired.
        const Timestamp startedAt = cluster.now();
        const bool isReplaced = cluster.runUntil(
            [&] {
                return std::ranges::any_of(std::views::iota(size_t {0}, Hosts),
                    [&](size_t number) { return number != leaderNumber && cluster.host(number).replica->isLeader(); });
            },
            600ms);
        EXPECT_FALSE(isReplaced) << "seed " << seed << " after " << toSeconds(cluster.now() - startedAt);
        EXPECT_EQ(cluster.host(leaderNumber).replica->term(), term) << "seed " << seed;
    }
}

} // namespace saltvane::control::test
