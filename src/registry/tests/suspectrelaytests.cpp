/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/suspectrelay.h"

#include <gtest/gtest.h>

namespace saltvane::registry::test {

namespace {

constexpr Timestamp Now {1000s};
constexpr model::RequestDigest Digest {.high = 1, .low = 2};

/// A gateway's report of one target failure, this many tenths of a second ago.
model::SuspectRequest failureReport(uint64_t target, int tenthsAgo)
{
    return {.digest = Digest,
        .ends = {{.target = target, .sentAgo = tenthsAgo * 100ms + 50ms, .endedAgo = tenthsAgo * 100ms}}};
}

void record(SuspectRelay& relay, const model::SuspectRequest& request) { relay.record({&request, 1}, Now); }

} // namespace

TEST(SuspectRelayTest, FirstFailureIsNotForwarded)
{
    SuspectRelay relay;
    record(relay, failureReport(1, 9));
    const SuspectRelay::Updates updates = relay.drainUpdates(Now);
    EXPECT_TRUE(updates.verdicts.requests.empty());
    EXPECT_TRUE(updates.unconfirmed.requests.empty());
}

TEST(SuspectRelayTest, TwoFailuresAreForwardedTogetherAndAThirdBlames)
{
    SuspectRelay relay;
    record(relay, failureReport(1, 9));
    record(relay, failureReport(2, 6));
    const SuspectRelay::Updates suspected = relay.drainUpdates(Now);
    ASSERT_EQ(suspected.unconfirmed.requests.size(), 1U);
    EXPECT_EQ(suspected.unconfirmed.requests[0].ends.size(), 2U);
    record(relay, failureReport(3, 3));
    const SuspectRelay::Updates blamed = relay.drainUpdates(Now);
    ASSERT_EQ(blamed.verdicts.requests.size(), 1U);
    EXPECT_TRUE(blamed.verdicts.requests[0].isBlamed);
    EXPECT_EQ(relay.blamedCount(), 1U);
    ASSERT_EQ(relay.verdicts(Now).size(), 1U);
}

TEST(SuspectRelayTest, RepeatedReportIsNotForwardedAgain)
{
    SuspectRelay relay;
    for (int i = 0; i < 3; ++i) {
        record(relay, failureReport(1, 9));
        record(relay, failureReport(2, 6));
    }
    EXPECT_EQ(relay.drainUpdates(Now).unconfirmed.requests.size(), 1U);
    record(relay, failureReport(2, 6));
    EXPECT_TRUE(relay.drainUpdates(Now).unconfirmed.requests.empty());
}

// Guards against failures that are not written to the disk, or written without end when targets fail under many
// requests.
TEST(SuspectRelayTest, ConsecutiveFailuresAreKeptUntilTheVerdictOrAnAnswer)
{
    SuspectRelay relay;
    record(relay, failureReport(1, 9));
    EXPECT_TRUE(relay.unconfirmed(Now).empty());
    EXPECT_EQ(relay.unconfirmedChanges(), 0U);
    record(relay, failureReport(2, 6));
    ASSERT_EQ(relay.unconfirmed(Now).size(), 1U);
    EXPECT_EQ(relay.unconfirmed(Now)[0].ends.size(), 2U);
    EXPECT_EQ(relay.unconfirmedChanges(), 1U);
    record(relay, failureReport(2, 6));
    EXPECT_EQ(relay.unconfirmedChanges(), 1U);
    record(relay, {.digest = Digest, .epoch = 1});
    EXPECT_TRUE(relay.unconfirmed(Now).empty());
    EXPECT_EQ(relay.unconfirmedChanges(), 2U);
}

TEST(SuspectRelayTest, LatestOfManySuspectsAreKept)
{
    constexpr uint64_t Suspects = 300;
    constexpr size_t MaxKept = 256;
    SuspectRelay relay;
    for (uint64_t number = 1; number <= Suspects; ++number) {
        for (const int tenthsAgo : {9, 6}) {
            model::SuspectRequest suspect = failureReport(number * 10 + tenthsAgo, tenthsAgo);
            suspect.digest = {.high = 1, .low = number};
            record(relay, suspect);
        }
    }
    const std::vector<model::SuspectRequest> kept = relay.unconfirmed(Now);
    ASSERT_EQ(kept.size(), MaxKept);
    EXPECT_EQ(kept.front().digest.low, Suspects);
    EXPECT_EQ(kept.back().digest.low, Suspects - MaxKept + 1);
}

TEST(SuspectRelayTest, VoidedFailuresAreForwardedToTheSameReceivers)
{
    SuspectRelay relay;
    record(relay, failureReport(1, 9));
    record(relay, failureReport(2, 6));
    (void)relay.drainUpdates(Now);
    record(relay, {.digest = Digest, .epoch = 1});
    const SuspectRelay::Updates updates = relay.drainUpdates(Now);
    ASSERT_EQ(updates.unconfirmed.requests.size(), 1U);
    EXPECT_TRUE(updates.unconfirmed.requests[0].ends.empty());
    record(relay, {.digest = {.high = 7, .low = 7}, .epoch = 1});
    EXPECT_TRUE(relay.drainUpdates(Now).unconfirmed.requests.empty());
}

TEST(SuspectRelayTest, VerdictsAreSplitIntoReportsThatFitAFrame)
{
    SuspectRelay relay;
    for (uint64_t number = 1; number <= 600; ++number)
        record(relay, {.digest = {.high = number, .low = number}, .isBlamed = true});
    EXPECT_EQ(relay.verdicts(Now).size(), 3U);
}

} // namespace saltvane::registry::test
