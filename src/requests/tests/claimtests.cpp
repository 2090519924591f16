/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/headerfilter.h"
#include "requests/tests/entryfixture.h"

namespace saltvane::requests {
namespace {

using model::ClaimResult;
using model::Outcome;
using model::Reason;

/// Keys of the callers' own making.
class ClaimTest : public EntryFixture {
protected:
    model::ForwardRequest forward(size_t index = 0) { return sent<model::ForwardRequest>().at(index); }
    model::ClaimRequest claim(size_t index = 0) { return sent<model::ClaimRequest>().at(index); }
    size_t runs() { return sent<model::ForwardRequest>().size(); }
};

TEST_F(ClaimTest, RunsOnlyAfterTheClaimIsGranted)
{
    const HttpHandle handle = post("order-17");
    EXPECT_EQ(runs(), 0U);
    EXPECT_EQ(claim().key, "order-17");
    EXPECT_EQ(claim().retention, 24h);
    reply(claim(), ClaimResult::Granted);
    answer(forward(), "booked");
    EXPECT_EQ(bodies_[handle], "booked");
    const HttpHandle second = post("order-17");
    EXPECT_EQ(headerOf(response(second).headers, ReplayedHeader), "true");
    EXPECT_EQ(sent<model::ClaimRequest>().size(), 1U);
    EXPECT_EQ(counters_.value(model::Counter::KeysClaimed), 1U);
}

TEST_F(ClaimTest, IsSentAgainWithTheSameNumberAndToANewLeader)
{
    post("order-17");
    pass(190ms);
    EXPECT_EQ(sent<model::ClaimRequest>().size(), 1U);
    pass(10ms);
    ASSERT_EQ(sent<model::ClaimRequest>().size(), 2U);
    entry_->setControlLeader(OtherEntry);
    pass(10ms);
    ASSERT_EQ(sent<model::ClaimRequest>().size(), 3U);
    EXPECT_EQ(outgoing_.back().to, OtherEntry);
    EXPECT_EQ(claim(2).claim, claim(0).claim);
    reply(claim(), ClaimResult::Granted);
    reply(claim(), ClaimResult::Granted); // of the second transmission
    EXPECT_EQ(runs(), 1U);
}

/// This host can't know whether another one ran the key before: "not run" would be a guess.
TEST_F(ClaimTest, WithoutQuorumNothingRunsAndTheOutcomeIsUnknown)
{
    entry_->setControlLeader(HostId());
    expectRefusal(post("order-17"), Outcome::Unknown, Reason::NoQuorum, 502);
    entry_->setControlLeader(ControlLeader);
    const HttpHandle second = post("order-17");
    reply(claim(), ClaimResult::NoQuorum);
    expectRefusal(second, Outcome::Unknown, Reason::NoQuorum, 502);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(ClaimTest, LostReplyEndsAtTheDeadlineAndAResendGoesOn)
{
    const HttpHandle first = post("order-17");
    pass(2s);
    expectRefusal(first, Outcome::Unknown, Reason::NoQuorum, 502);
    post("order-17");
    const auto claims = sent<model::ClaimRequest>();
    EXPECT_EQ(claims.back().claim, claims.front().claim);
    reply(claims.back(), ClaimResult::Granted);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(ClaimTest, LateGrantIsRememberedAndLetsAResendRunAtOnce)
{
    post("order-17");
    pass(2s);
    reply(claim(), ClaimResult::Granted);
    EXPECT_EQ(runs(), 0U);
    entry_->setControlLeader(HostId());
    post("order-17");
    EXPECT_EQ(runs(), 1U);
    end(forward(), Outcome::NotRun, Reason::QueueTimeout);
    EXPECT_EQ(headerOf(responses_.rbegin()->second.headers, OutcomeHeader), "not-run");
}

TEST_F(ClaimTest, RunIsRememberedAsLongAsTheLogRemembersTheClaim)
{
    post("order-17");
    reply(claim(), ClaimResult::Granted);
    end(forward(), Outcome::NotRun, Reason::QueueTimeout);
    post("order-17");
    answer(forward(1));
    pass(24h);
    pass(10ms);
    post("order-17");
    EXPECT_EQ(runs(), 2U);
    EXPECT_EQ(sent<model::ClaimRequest>().size(), 1U);
}

TEST_F(ClaimTest, HeldElsewhereGoesToTheHolderWithAllThatWait)
{
    const HttpHandle first = post("order-17");
    const HttpHandle second = post("order-17");
    reply(claim(), ClaimResult::HeldElsewhere, OtherEntry, OtherIncarnation);
    ASSERT_EQ(runs(), 2U);
    EXPECT_EQ(forward().purpose, model::ForwardPurpose::Mint);
    answer(forward(0), "booked", OtherEntry);
    answer(forward(1), "booked", OtherEntry);
    EXPECT_EQ(bodies_[first], "booked");
    EXPECT_EQ(bodies_[second], "booked");
    EXPECT_EQ(wallet_.taken(), 0);
}

TEST_F(ClaimTest, HolderGoneOrRestartedIsUnknown)
{
    const HttpHandle first = post("order-17");
    reply(claim(), ClaimResult::HeldElsewhere, OtherEntry, Incarnation {4});
    expectRefusal(first, Outcome::Unknown, Reason::MinterGone, 409);
    const HttpHandle second = post("order-18");
    reply(claim(1), ClaimResult::HeldElsewhere, SelfHost, Incarnation {SelfIncarnation.value - 1});
    expectRefusal(second, Outcome::Unknown, Reason::MinterGone, 409);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(ClaimTest, HeldByThisStartIsAGrant)
{
    post("order-17");
    reply(claim(), ClaimResult::HeldElsewhere, SelfHost, SelfIncarnation);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(ClaimTest, OtherFingerprintIsAConflictForAllThatWait)
{
    const HttpHandle first = post("order-17");
    const HttpHandle second = post("order-17");
    reply(claim(), ClaimResult::OtherFingerprint, OtherEntry);
    expectRefusal(first, Outcome::NotRun, Reason::KeyConflict, 422);
    expectRefusal(second, Outcome::NotRun, Reason::KeyConflict, 422);
}

TEST_F(ClaimTest, WaiterTakesTheClaimOverWhenTheOriginalLeaves)
{
    const HttpHandle first = post("order-17");
    const HttpHandle second = post("order-17");
    http(HttpRequestAborted {.handle = first});
    reply(claim(), ClaimResult::Granted);
    ASSERT_EQ(runs(), 1U);
    answer(forward(), "booked");
    EXPECT_EQ(bodies_[second], "booked");
}

} // namespace
} // namespace saltvane::requests
