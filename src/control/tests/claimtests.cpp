/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/fakecluster.h"

#include <gtest/gtest.h>

namespace saltvane::control::test {

namespace {

model::Delivery claimOf(const char* host, uint64_t claim, const char* key, uint64_t fingerprint = 1,
    Duration retention = 60s, uint64_t incarnation = 1)
{
    return {.from = HostId(host),
        .fromIncarnation = Incarnation {incarnation},
        .message = model::ClaimRequest {.claim = claim,
            .service = ServiceName("service"),
            .key = key,
            .fingerprint = fingerprint,
            .retention = retention}};
}

/// Three control hosts with an elected leader.
class Claims : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.leader() != nullptr; }));
    }

    model::ClaimReply answerTo(const model::Delivery& request)
    {
        FakeHost& leader = *cluster_.leader();
        leader.toHosts.clear();
        cluster_.deliver(cluster_.numberOf(leader), request);
        EXPECT_TRUE(cluster_.runUntil([&] { return !leader.toHosts.empty(); }, 5s));
        return leader.toHosts.empty() ? model::ClaimReply {} : std::get<model::ClaimReply>(leader.toHosts[0].message);
    }

    FakeCluster cluster_ {{}};
};

} // namespace

TEST_F(Claims, KeyIsGrantedOnceAndTheReplyNamesItsHolder)
{
    EXPECT_EQ(answerTo(claimOf("entry1", 1, "key")).result, model::ClaimResult::Granted);
    EXPECT_EQ(answerTo(claimOf("entry1", 1, "key")).result, model::ClaimResult::Granted);
    const model::ClaimReply other = answerTo(claimOf("entry2", 1, "key"));
    EXPECT_EQ(other.result, model::ClaimResult::HeldElsewhere);
    EXPECT_EQ(other.holder, HostId("entry1"));
    EXPECT_EQ(other.holderIncarnation, Incarnation {1});
    EXPECT_EQ(answerTo(claimOf("entry2", 2, "key", 7)).result, model::ClaimResult::OtherFingerprint);
}

TEST_F(Claims, RestartedHostIsNotTheHolder)
{
    EXPECT_EQ(answerTo(claimOf("entry1", 1, "key")).result, model::ClaimResult::Granted);
    EXPECT_EQ(answerTo(claimOf("entry1", 1, "key", 1, 60s, 2)).result, model::ClaimResult::HeldElsewhere);
}

TEST_F(Claims, ClaimSurvivesTheLeaderUntilItExpires)
{
    EXPECT_EQ(answerTo(claimOf("entry1", 1, "key", 1, 30s)).result, model::ClaimResult::Granted);
    cluster_.crash(cluster_.numberOf(*cluster_.leader()));
    ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.leader() != nullptr; }, 10s));
    EXPECT_EQ(answerTo(claimOf("entry2", 1, "key")).result, model::ClaimResult::HeldElsewhere);
    cluster_.run(30s);
    EXPECT_EQ(answerTo(claimOf("entry2", 2, "key")).result, model::ClaimResult::Granted);
}

TEST_F(Claims, WithoutAQuorumNothingIsGranted)
{
    FakeHost& leader = *cluster_.leader();
    const size_t number = cluster_.numberOf(leader);
    cluster_.isolate(number);
    leader.toHosts.clear();
    cluster_.deliver(number, claimOf("entry1", 1, "key")); // Within the lease: appended, but never committed.
    EXPECT_TRUE(cluster_.runUntil([&] { return !leader.toHosts.empty(); }, 5s));
    cluster_.deliver(number, claimOf("entry1", 2, "other"));
    ASSERT_EQ(leader.toHosts.size(), 2U);
    for (const model::OutgoingMessage& outgoing : leader.toHosts)
        EXPECT_EQ(std::get<model::ClaimReply>(outgoing.message).result, model::ClaimResult::NoQuorum);
}

} // namespace saltvane::control::test
