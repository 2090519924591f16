/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registrycluster.h"

#include <gtest/gtest.h>

/// Registry hosts whose disks refuse every write for a while.
namespace saltvane::registry::test {

namespace {

constexpr size_t Hosts = 6;

class FullDiskTest : public testing::Test {
protected:
    FullDiskTest()
    {
        put(1);
        EXPECT_TRUE(cluster_.runUntil([this] {
            const auto leader = cluster_.leader();
            return leader && cluster_.votersAt(*leader) == Hosts;
        }));
        cluster_.run(1s);
    }

    /// Retries like an operator; returns the time until the plan was accepted.
    Duration put(uint64_t version)
    {
        constexpr Duration MaxRetryTime = 5s;
        const Timestamp begin = cluster_.now();
        while (cluster_.now() - begin < MaxRetryTime) {
            const auto answer = cluster_.order("PUT", "/v1/plan", planText(version), std::to_string(version - 1));
            if (answer && answer->status == 200)
                return cluster_.now() - begin;
            cluster_.run(100ms);
        }
        ADD_FAILURE() << "plan " << version << " was not accepted";
        return MaxRetryTime;
    }
    void restartAll()
    {
        for (size_t number = 0; number < Hosts; ++number)
            cluster_.kill(number);
        for (size_t number = 0; number < Hosts; ++number)
            cluster_.start(number, false);
    }
    [[nodiscard]] std::string readPlan()
    {
        EXPECT_TRUE(cluster_.runUntil([this] { return cluster_.leader().has_value(); }));
        cluster_.run(200ms);
        const auto answer = cluster_.order("GET", "/v1/plan");
        return answer ? answer->body : "";
    }

    RegistryCluster cluster_ {Hosts};
};

} // namespace

TEST_F(FullDiskTest, LeaderThatCannotWriteStepsDownAndKeepsRunning)
{
    const size_t former = *cluster_.leader();
    cluster_.setDiskFull(former, true);
    EXPECT_LT(put(2), 2s);
    ASSERT_TRUE(cluster_.leader());
    EXPECT_NE(*cluster_.leader(), former);
    EXPECT_TRUE(cluster_.isRunning(former));
    cluster_.run(5s); // It neither becomes leader again nor prevents others from it.
    ASSERT_TRUE(cluster_.leader());
    EXPECT_NE(*cluster_.leader(), former);
    EXPECT_LT(put(3), 1s);
}

TEST_F(FullDiskTest, TwoFullDisksBlockNoCommitAndCatchUpAfterwards)
{
    const size_t leader = *cluster_.leader();
    const size_t follower = (leader + 1) % Hosts;
    cluster_.setDiskFull(leader, true);
    cluster_.setDiskFull(follower, true);
    put(2);
    put(3);
    cluster_.setDiskFull(leader, false);
    cluster_.setDiskFull(follower, false);
    cluster_.run(5s);
    // These two now store everything again, so that two other hosts may lose their disks.
    put(4);
    cluster_.run(2s);
    size_t wiped = 0;
    for (size_t number = 0; number < Hosts; ++number)
        cluster_.kill(number);
    for (size_t number = 0; number < Hosts; ++number) {
        if (number != leader && number != follower && wiped < 2) {
            cluster_.wipeDisk(number);
            ++wiped;
        }
    }
    for (size_t number = 0; number < Hosts; ++number)
        cluster_.start(number, false);
    EXPECT_EQ(readPlan(), planText(4));
}

/// Guards against counting a host as a replica of entries that its disk refused.
TEST_F(FullDiskTest, CommitsDuringFullDisksSurviveRestartOfAllHosts)
{
    const size_t leader = *cluster_.leader();
    cluster_.setDiskFull(leader, true);
    cluster_.setDiskFull((leader + 1) % Hosts, true);
    put(2);
    restartAll();
    EXPECT_EQ(readPlan(), planText(2));
}

TEST_F(FullDiskTest, NothingIsAcknowledgedWithoutAWritableMajority)
{
    for (size_t number = 0; number < Hosts / 2; ++number)
        cluster_.setDiskFull(number, true);
    cluster_.run(1s);
    const auto answer = cluster_.order("PUT", "/v1/plan", planText(2), "1");
    EXPECT_TRUE(!answer || answer->status != 200);
    for (size_t number = 0; number < Hosts; ++number) {
        EXPECT_TRUE(cluster_.isRunning(number));
        cluster_.setDiskFull(number, false);
    }
    cluster_.run(3s);
    EXPECT_LT(put(2), 2s);
}

} // namespace saltvane::registry::test
