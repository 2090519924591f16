/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/fakecluster.h"

#include <gtest/gtest.h>

namespace saltvane::control::test {

// Found on the users' bench (incident inc-4403): after all hosts had been killed at once, candidates of far regions
// split their votes, and there was no leader for 2.3 s; nothing could be served meanwhile.
TEST(ElectionTest, AfterAllWereKilledALeaderIsElectedSoon)
{
    constexpr size_t Hosts = 6;
    constexpr uint64_t Seeds = 40;
    Duration sum {};
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        FakeCluster cluster({.seed = seed, .hosts = Hosts, .leastDelay = 34ms, .mostDelay = 36ms});
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }));
        cluster.run(2s);
        for (size_t number = 0; number < Hosts; ++number)
            cluster.crash(number);
        cluster.run(1s);
        for (size_t number = 0; number < Hosts; ++number)
            cluster.start(number);
        const Timestamp startedAt = cluster.now();
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; })) << "seed " << seed;
        sum += cluster.now() - startedAt;
    }
    const double mean = toSeconds(sum) / static_cast<double>(Seeds);
    RecordProperty("mean_seconds", std::to_string(mean));
    EXPECT_LT(mean, 1.15);
}

} // namespace saltvane::control::test
