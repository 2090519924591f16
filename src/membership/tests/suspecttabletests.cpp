/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/suspectoutbox.h"
#include "membership/suspecttable.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <random>

namespace saltvane::membership::test {

namespace {

constexpr model::RequestDigest Digest {.high = 1, .low = 2};
constexpr double RareFailureShare = 0.01;
constexpr double FrequentFailureShare = 0.3;

class SuspectTableTest : public testing::Test {
protected:
    [[nodiscard]] static Timestamp at(Duration time) { return Timestamp(1000s + time); }
    /// A failed run of 100 ms, sent `sentAt` after the start of the test.
    static SuspectTable::TargetFailure failure(uint64_t target, Duration sentAt, double usualShare = RareFailureShare)
    {
        return {.target = target, .sentAt = at(sentAt), .failedAt = at(sentAt + 100ms), .usualShare = usualShare};
    }
    void recordFailures(size_t count, double usualShare = RareFailureShare)
    {
        for (size_t i = 0; i < count; ++i)
            (void)table_.recordFailure(Digest, failure(i + 1, i * 200ms, usualShare), at(i * 200ms + 100ms));
    }

    SuspectTable table_ {SuspectTable::Limits {}};
};

} // namespace

TEST_F(SuspectTableTest, ThreeConsecutiveFailuresBlameWhenFailuresAreRare)
{
    recordFailures(2);
    EXPECT_FALSE(table_.isBlamed(Digest));
    recordFailures(3);
    EXPECT_TRUE(table_.isBlamed(Digest));
}

TEST_F(SuspectTableTest, TheSameFailureReportedTwiceCountsOnce)
{
    for (int i = 0; i < 5; ++i)
        (void)table_.recordFailure(Digest, failure(7, i * 200ms), at(1s));
    EXPECT_EQ(table_.consecutiveFailures(Digest), 1U);
}

TEST_F(SuspectTableTest, SimultaneousFailuresCountOnce)
{
    for (uint64_t target = 1; target <= 6; ++target)
        (void)table_.recordFailure(Digest, failure(target, 0s), at(100ms));
    EXPECT_EQ(table_.consecutiveFailures(Digest), 1U);
    EXPECT_FALSE(table_.isBlamed(Digest));
}

TEST_F(SuspectTableTest, AnAnswerDiscardsTheFailures)
{
    recordFailures(2);
    EXPECT_TRUE(table_.recordAnswer(Digest, at(1s)));
    EXPECT_FALSE(table_.recordAnswer(Digest, at(1s)));
    EXPECT_EQ(table_.consecutiveFailures(Digest), 0U);
    EXPECT_FALSE(table_.recordAnswer({.high = 9, .low = 9}, at(1s)));
    EXPECT_EQ(table_.size(), 1U);
}

/// If the targets of three in ten runs fail, one in 37 harmless requests meets three consecutive failures.
TEST_F(SuspectTableTest, MoreFailuresAreNeededWhenFailuresAreFrequent)
{
    recordFailures(5, FrequentFailureShare);
    EXPECT_FALSE(table_.isBlamed(Digest));
    recordFailures(6, FrequentFailureShare);
    EXPECT_TRUE(table_.isBlamed(Digest)); // 0.3 to the power of 6 is less than one in a thousand.
}

TEST_F(SuspectTableTest, TheHighestShareOfAllFailuresApplies)
{
    recordFailures(2);
    (void)table_.recordFailure(Digest, failure(9, 1s, FrequentFailureShare), at(1100ms));
    EXPECT_EQ(table_.consecutiveFailures(Digest), 3U);
    EXPECT_FALSE(table_.isBlamed(Digest));
}

TEST_F(SuspectTableTest, MaxFailuresBlameWhateverTheirWeight)
{
    recordFailures(SuspectTable::MaxFailures, 0.9);
    EXPECT_TRUE(table_.isBlamed(Digest));
}

/// Merges updates of several hosts in random order, some of them twice: the result must always be the same.
TEST_F(SuspectTableTest, UpdatesMergeInAnyOrder)
{
    std::mt19937 random(1); // NOLINT(cert-msc32-c,cert-msc51-cpp): must be reproducible.
    std::vector<model::SuspectRequest> updates;
    SuspectTable table {SuspectTable::Limits {}};
    (void)table.recordFailure(Digest, failure(1, 0s), at(2s));
    updates.push_back(*table.updateFor(Digest, at(2s)));
    (void)table.recordAnswer(Digest, at(2s));
    updates.push_back(*table.updateFor(Digest, at(2s)));
    for (uint64_t target = 2; target <= 4; ++target) {
        SuspectTable other {SuspectTable::Limits {}};
        (void)other.merge(updates[1], at(2s));
        (void)other.recordFailure(Digest, failure(1, 0s), at(2s));
        (void)other.recordFailure(Digest, failure(target, target * 300ms), at(2s));
        updates.push_back(*table.updateFor(Digest, at(2s)));
        updates.push_back(*other.updateFor(Digest, at(2s)));
        updates.back().epoch = 1;
    }
    std::optional<model::SuspectRequest> first;
    for (int order = 0; order < 50; ++order) {
        std::ranges::shuffle(updates, random);
        SuspectTable merged {SuspectTable::Limits {}};
        (void)merged.recordFailure(Digest, failure(1, 0s), at(2s));
        for (const model::SuspectRequest& update : updates)
            (void)merged.merge(update, at(2s));
        const auto result = merged.updateFor(Digest, at(2s));
        ASSERT_TRUE(result);
        if (!first)
            first = result;
        EXPECT_EQ(*result, *first) << order;
    }
    EXPECT_TRUE(first->isBlamed);
}

/// Of two requests that run on the same targets at the same times, one is blamed. If it was the harmless one, the other
/// fails further targets and then accounts for all failures.
TEST_F(SuspectTableTest, FailuresCountAgainstOneOfTwoConcurrentRequests)
{
    constexpr model::RequestDigest Concurrent {.high = 3, .low = 4};
    for (size_t i = 0; i < 3; ++i) {
        (void)table_.recordFailure(Concurrent, failure(i + 1, i * 200ms), at(i * 200ms + 100ms));
        (void)table_.recordFailure(Digest, failure(i + 1, i * 200ms), at(i * 200ms + 100ms));
    }
    EXPECT_TRUE(table_.isBlamed(Concurrent));
    EXPECT_FALSE(table_.isBlamed(Digest));
    for (size_t i = 3; i < 6; ++i)
        (void)table_.recordFailure(Digest, failure(i + 1, i * 200ms), at(i * 200ms + 100ms));
    EXPECT_TRUE(table_.isBlamed(Digest));
    EXPECT_FALSE(table_.isBlamed(Concurrent));
    EXPECT_EQ(table_.drainCleared(), std::vector {Concurrent});
}

TEST_F(SuspectTableTest, TrialsFollowAfterOneAndTenMinutesAndThenStop)
{
    recordFailures(3);
    EXPECT_GT(table_.timeToTrial(Digest, at(30s)), 29s);
    EXPECT_EQ(table_.timeToTrial(Digest, at(61s)), 0s);
    table_.recordTrial(Digest, at(61s));
    EXPECT_EQ(table_.timeToTrial(Digest, at(62s)), 10min - 1s);
    table_.recordTrial(Digest, at(20min));
    EXPECT_GT(table_.timeToTrial(Digest, at(50min)), 30min);
}

TEST_F(SuspectTableTest, ATrialReachesOtherHosts)
{
    recordFailures(3);
    SuspectTable other {SuspectTable::Limits {}};
    (void)other.merge(*table_.updateFor(Digest, at(1s)), at(1s));
    EXPECT_TRUE(other.isBlamed(Digest));
    table_.recordTrial(Digest, at(61s));
    EXPECT_TRUE(other.merge(*table_.updateFor(Digest, at(61s)), at(61s)));
    EXPECT_GT(other.timeToTrial(Digest, at(62s)), 9min);
}

TEST_F(SuspectTableTest, AnEntryExpiresAnHourAfterItsLastRequest)
{
    recordFailures(3);
    (void)table_.recordCallerRequest(Digest, at(50min));
    table_.expire(at(109min));
    EXPECT_TRUE(table_.isBlamed(Digest));
    table_.expire(at(111min));
    EXPECT_EQ(table_.size(), 0U);
}

TEST_F(SuspectTableTest, RequestsInUseAreNotEvictedForNewOnes)
{
    SuspectTable table {{.entries = 4}};
    const auto digest = [](uint64_t number) { return model::RequestDigest {.high = number, .low = number}; };
    for (uint64_t number = 1; number <= 4; ++number) {
        for (uint64_t target = 1; target <= 3; ++target)
            (void)table.recordFailure(digest(number), failure(number * 10 + target, target * 200ms), at(1s));
    }
    EXPECT_FALSE(table.recordFailure(digest(5), failure(1, 0s), at(2s)));
    EXPECT_EQ(table.blamedCount(), 4U);
    for (uint64_t number = 2; number <= 4; ++number)
        (void)table.recordCallerRequest(digest(number), at(15min));
    EXPECT_TRUE(
        table.recordFailure(digest(5), failure(1, 0s), at(15min))); // Evicts the first, which is no longer in use.
    EXPECT_FALSE(table.isBlamed(digest(1)));
    EXPECT_TRUE(table.recordFailure(digest(6), failure(1, 0s), at(15min))); // Evicts the one with a single failure.
    EXPECT_EQ(table.consecutiveFailures(digest(5)), 0U);
    EXPECT_EQ(table.blamedCount(), 3U);
}

TEST_F(SuspectTableTest, TheRateOfUpdatesIsLimitedAndBlamedRequestsGoFirst)
{
    SuspectOutbox outbox({.perSecond = 10, .burst = 5});
    for (uint64_t number = 1; number <= 100; ++number) {
        const model::RequestDigest digest {.high = number, .low = 1};
        (void)table_.recordFailure(digest, failure(1, 0s), at(1s));
        outbox.add(digest, table_);
    }
    recordFailures(3);
    outbox.add(Digest, table_);
    const auto first = outbox.drain(table_, at(1s));
    ASSERT_EQ(first.size(), 5U);
    EXPECT_EQ(first[0].digest, Digest);
    EXPECT_TRUE(outbox.drain(table_, at(1s)).empty());
    EXPECT_EQ(outbox.drain(table_, at(1300ms)).size(), 3U);
}

} // namespace saltvane::membership::test
