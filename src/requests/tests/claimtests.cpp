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

/// Requests with caller-made keys, which are claimed in the replicated log.
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
    replyToClaim(claim(), ClaimResult::Granted);
    sendResponse(forward(), "booked");
    EXPECT_EQ(bodies_[handle], "booked");
    const HttpHandle second = post("order-17");
    EXPECT_EQ(headerOf(response(second).headers, ReplayedHeader), "true");
    EXPECT_EQ(sent<model::ClaimRequest>().size(), 1U);
    EXPECT_EQ(counters_.value(model::Counter::KeysClaimed), 1U);
}

TEST_F(ClaimTest, IsSentAgainWithTheSameNumberAndToANewLeader)
{
    post("order-17");
    advanceTime(190ms);
    EXPECT_EQ(sent<model::ClaimRequest>().size(), 1U);
    advanceTime(10ms);
    ASSERT_EQ(sent<model::ClaimRequest>().size(), 2U);
    entry_->setControlLeader(OtherEntry);
    advanceTime(10ms);
    ASSERT_EQ(sent<model::ClaimRequest>().size(), 3U);
    EXPECT_EQ(outgoing_.back().to, OtherEntry);
    EXPECT_EQ(claim(2).claim, claim(0).claim);
    replyToClaim(claim(), ClaimResult::Granted);
    replyToClaim(claim(), ClaimResult::Granted); // Reply to the second transmission.
    EXPECT_EQ(runs(), 1U);
}

/// Another host may have run the key before, so "not run" can't be reported.
TEST_F(ClaimTest, WithoutQuorumNothingRunsAndTheOutcomeIsUnknown)
{
    entry_->setControlLeader(HostId());
    expectRefusal(post("order-17"), Outcome::Unknown, Reason::NoQuorum, 502);
    entry_->setControlLeader(ControlLeader);
    const HttpHandle second = post("order-17");
    replyToClaim(claim(), ClaimResult::NoQuorum);
    expectRefusal(second, Outcome::Unknown, Reason::NoQuorum, 502);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(ClaimTest, LostReplyEndsAtTheDeadlineAndAResendReusesTheClaim)
{
    const HttpHandle first = post("order-17");
    advanceTime(2s);
    expectRefusal(first, Outcome::Unknown, Reason::NoQuorum, 502);
    post("order-17");
    const auto claims = sent<model::ClaimRequest>();
    EXPECT_EQ(claims.back().claim, claims.front().claim);
    replyToClaim(claims.back(), ClaimResult::Granted);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(ClaimTest, LateGrantLetsAResendRunAtOnce)
{
    post("order-17");
    advanceTime(2s);
    replyToClaim(claim(), ClaimResult::Granted);
    EXPECT_EQ(runs(), 0U);
    entry_->setControlLeader(HostId());
    post("order-17");
    EXPECT_EQ(runs(), 1U);
    completeForward(forward(), Outcome::NotRun, Reason::QueueTimeout);
    EXPECT_EQ(headerOf(responses_.rbegin()->second.headers, OutcomeHeader), "not-run");
}

TEST_F(ClaimTest, RunIsRecordedAsLongAsTheLogRetainsTheClaim)
{
    post("order-17");
    replyToClaim(claim(), ClaimResult::Granted);
    completeForward(forward(), Outcome::NotRun, Reason::QueueTimeout);
    post("order-17");
    sendResponse(forward(1));
    advanceTime(24h);
    advanceTime(10ms);
    post("order-17");
    EXPECT_EQ(runs(), 2U);
    EXPECT_EQ(sent<model::ClaimRequest>().size(), 1U);
}

TEST_F(ClaimTest, HeldElsewhereForwardsAllWaitersToTheHolder)
{
    const HttpHandle first = post("order-17");
    const HttpHandle second = post("order-17");
    replyToClaim(claim(), ClaimResult::HeldElsewhere, OtherEntry, OtherIncarnation);
    ASSERT_EQ(runs(), 2U);
    EXPECT_EQ(forward().purpose, model::ForwardPurpose::Mint);
    sendResponse(forward(0), "booked", OtherEntry);
    sendResponse(forward(1), "booked", OtherEntry);
    EXPECT_EQ(bodies_[first], "booked");
    EXPECT_EQ(bodies_[second], "booked");
    EXPECT_EQ(creditStore_.inUse(), 0);
}

TEST_F(ClaimTest, UnreachableOrRestartedHolderIsUnknown)
{
    const HttpHandle first = post("order-17");
    replyToClaim(claim(), ClaimResult::HeldElsewhere, OtherEntry, Incarnation {4});
    expectRefusal(first, Outcome::Unknown, Reason::MinterGone, 409);
    const HttpHandle second = post("order-18");
    replyToClaim(claim(1), ClaimResult::HeldElsewhere, SelfHost, Incarnation {SelfIncarnation.value - 1});
    expectRefusal(second, Outcome::Unknown, Reason::MinterGone, 409);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(ClaimTest, HeldByThisIncarnationIsAGrant)
{
    post("order-17");
    replyToClaim(claim(), ClaimResult::HeldElsewhere, SelfHost, SelfIncarnation);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(ClaimTest, OtherFingerprintIsAConflictForAllWaiters)
{
    const HttpHandle first = post("order-17");
    const HttpHandle second = post("order-17");
    replyToClaim(claim(), ClaimResult::OtherFingerprint, OtherEntry);
    expectRefusal(first, Outcome::NotRun, Reason::KeyConflict, 422);
    expectRefusal(second, Outcome::NotRun, Reason::KeyConflict, 422);
}

TEST_F(ClaimTest, WaiterInheritsTheClaimWhenTheOriginalDisconnects)
{
    const HttpHandle first = post("order-17");
    const HttpHandle second = post("order-17");
    handleHttp(HttpRequestAborted {.handle = first});
    replyToClaim(claim(), ClaimResult::Granted);
    ASSERT_EQ(runs(), 1U);
    sendResponse(forward(), "booked");
    EXPECT_EQ(bodies_[second], "booked");
}

} // namespace
} // namespace saltvane::requests
