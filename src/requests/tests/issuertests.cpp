/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/headerfilter.h"
#include "requests/tests/entryfixture.h"

namespace saltvane::requests {
namespace {

using model::Direction;
using model::Outcome;
using model::Reason;

/// Requests that an entry host forwards to the issuer of their key, seen from both hosts.
class IssuerTest : public EntryFixture {
protected:
    model::ForwardRequest forward(size_t index = 0) { return sent<model::ForwardRequest>().at(index); }
    size_t runs() { return sent<model::ForwardRequest>().size(); }
    /// Delivers a request with this key from another entry host.
    void receiveForwarded(const std::string& key, uint64_t correlation, Incarnation incarnation = OtherIncarnation)
    {
        deliver(OtherEntry,
            model::ForwardRequest {.correlation = {correlation},
                .purpose = model::ForwardPurpose::Mint,
                .request = RequestId("gye-2-5-1"),
                .service = Settlebox,
                .clientRegion = RegionName("gye"),
                .method = "POST",
                .path = "/wire",
                .bodyLength = 8,
                .deadline = 1s,
                .idempotencyKey = key},
            incarnation);
        deliver(OtherEntry, model::ForwardBody {.correlation = {correlation}, .bytes = "amount=1", .isLast = true},
            incarnation);
    }
    std::vector<model::ForwardEnd> ends(uint64_t correlation)
    {
        std::vector<model::ForwardEnd> found = sent<model::ForwardEnd>();
        std::erase_if(
            found, [correlation](const model::ForwardEnd& item) { return item.correlation.value != correlation; });
        return found;
    }
    void expectEnd(uint64_t correlation, Outcome outcome, Reason reason)
    {
        const auto found = ends(correlation);
        ASSERT_EQ(found.size(), 1U);
        EXPECT_EQ(found[0].outcome, outcome);
        EXPECT_EQ(found[0].reason, reason);
    }
};

TEST_F(IssuerTest, ForeignTokenGoesToItsIssuerAndTheResponseBack)
{
    const std::string key = foreignKey();
    const HttpHandle handle = post(key);
    EXPECT_EQ(forward().purpose, model::ForwardPurpose::Mint);
    EXPECT_EQ(forward().idempotencyKey, key);
    deliver(OtherEntry,
        model::ForwardResponseHead {.correlation = forward().correlation,
            .status = 200,
            .headers = {{"Saltvane-Replayed", "true"}},
            .bodyLength = 2});
    deliver(OtherEntry,
        model::ForwardBody {
            .correlation = forward().correlation, .direction = Direction::ToClient, .bytes = "ok", .isLast = true});
    completeForward(forward(), Outcome::Answered, Reason::None, OtherEntry);
    EXPECT_EQ(bodies_[handle], "ok");
    EXPECT_EQ(headerOf(response(handle).headers, ReplayedHeader), "true");
    EXPECT_EQ(creditStore_.inUse(), 0);
}

TEST_F(IssuerTest, IssuersRefusalIsPassedOnWithoutRetry)
{
    const HttpHandle first = post(foreignKey());
    completeForward(forward(), Outcome::NotRun, Reason::NoRoom, OtherEntry);
    expectRefusal(first, Outcome::NotRun, Reason::NoRoom, 503);
    const HttpHandle second = post(foreignKey());
    completeForward(forward(1), Outcome::Unknown, Reason::KeyInUse, OtherEntry);
    expectRefusal(second, Outcome::Unknown, Reason::KeyInUse, 409);
    EXPECT_EQ(runs(), 2U);
}

TEST_F(IssuerTest, UnreachableOrRestartedIssuerIsUnknown)
{
    expectRefusal(post(foreignKey(HostId("cue-1"))), Outcome::Unknown, Reason::MinterGone, 409);
    expectRefusal(post(foreignKey(OtherEntry, {4})), Outcome::Unknown, Reason::MinterGone, 409);
    expectRefusal(post(foreignKey(SelfHost, {SelfIncarnation.value - 1})), Outcome::Unknown, Reason::MinterGone, 409);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(IssuerTest, IssuerIsRetriedAfterTheLinkBroke)
{
    const HttpHandle handle = post(foreignKey());
    entry_->onHostLost(OtherEntry, now_);
    collect();
    EXPECT_FALSE(hasResponse(handle));
    advanceTime(200ms);
    ASSERT_EQ(runs(), 2U);
    EXPECT_EQ(sent<model::ForwardBody>().back().bytes, "amount=1");
    sendResponse(forward(1), "booked", OtherEntry);
    EXPECT_EQ(bodies_[handle], "booked");

    const HttpHandle orphaned = post(foreignKey());
    hostLiveness_.alive.erase(OtherEntry);
    entry_->onHostLost(OtherEntry, now_);
    advanceTime(200ms);
    expectRefusal(orphaned, Outcome::Unknown, Reason::MinterGone, 409);
}

TEST_F(IssuerTest, LinkThatStaysBrokenIsUnknownAtTheDeadline)
{
    const HttpHandle handle = post(foreignKey());
    for (int count = 0; count < 5; ++count) {
        entry_->onHostLost(OtherEntry, now_);
        advanceTime(200ms);
    }
    expectRefusal(handle, Outcome::Unknown, Reason::PeerLost, 502);
    EXPECT_EQ(runs(), 3U);
    EXPECT_EQ(entry_->inFlight(), 1U);
}

TEST_F(IssuerTest, RunsTheKeyOnceForCallersOfTwoHosts)
{
    const std::string key = ownKey();
    const HttpHandle local = post(key);
    receiveForwarded(key, 11);
    ASSERT_EQ(runs(), 1U);
    sendResponse(forward(), "booked");
    EXPECT_EQ(bodies_[local], "booked");
    const auto heads = sent<model::ForwardResponseHead>();
    ASSERT_EQ(heads.size(), 1U);
    EXPECT_EQ(headerOf(heads[0].headers, ReplayedHeader), "true");
    const auto bodies = sent<model::ForwardBody>();
    EXPECT_EQ(bodies.back().bytes + bodies[bodies.size() - 2].bytes, "booked");
    EXPECT_TRUE(bodies.back().isLast);
    expectEnd(11, Outcome::Answered, Reason::None);
}

TEST_F(IssuerTest, RepeatedFrameDoesNotRunWhatWasReportedNotRun)
{
    const std::string key = ownKey();
    receiveForwarded(key, 11);
    completeForward(forward(), Outcome::NotRun, Reason::QueueTimeout);
    expectEnd(11, Outcome::NotRun, Reason::QueueTimeout);
    receiveForwarded(key, 11);
    receiveForwarded(key, 10);
    receiveForwarded(key, 12, {OtherIncarnation.value - 1});
    EXPECT_EQ(runs(), 1U);
    EXPECT_EQ(counters_.value(model::Counter::StaleMessages), 3U);
    receiveForwarded(key, 1, {OtherIncarnation.value + 1});
    EXPECT_EQ(runs(), 2U);
}

TEST_F(IssuerTest, CancelledRunContinuesForItsKey)
{
    const std::string key = ownKey();
    receiveForwarded(key, 11);
    deliver(OtherEntry, model::ForwardCancel {.correlation = {11}});
    expectEnd(11, Outcome::Unknown, Reason::ClientGone);
    EXPECT_TRUE(sent<model::ForwardCancel>().empty());
    sendResponse(forward(), "booked");
    expectEnd(11, Outcome::Unknown, Reason::ClientGone);
    const HttpHandle resend = post(key);
    EXPECT_EQ(bodies_[resend], "booked");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(IssuerTest, LostEntryHostDoesNotStopTheRun)
{
    const std::string key = ownKey();
    receiveForwarded(key, 11);
    entry_->onHostLost(OtherEntry, now_);
    collect();
    sendResponse(forward(), "booked");
    EXPECT_TRUE(ends(11).empty());
    EXPECT_EQ(bodies_[post(key)], "booked");
}

TEST_F(IssuerTest, DeadlineOfAForwardedRequestEndsItOnce)
{
    receiveForwarded(ownKey(), 11);
    advanceTime(1s);
    expectEnd(11, Outcome::Unknown, Reason::DeadlineExceeded);
    sendResponse(forward());
    EXPECT_EQ(ends(11).size(), 1U);
    EXPECT_EQ(entry_->inFlight(), 0U);
}

/// A restarted host has no records of keys that its earlier incarnation claimed; the replicated log has.
TEST_F(IssuerTest, CallerMadeKeyIsClaimedAgainByAHolderWithoutARecord)
{
    receiveForwarded("order-17", 11);
    EXPECT_EQ(runs(), 0U);
    replyToClaim(sent<model::ClaimRequest>().at(0), model::ClaimResult::HeldElsewhere, SelfHost, {3});
    expectEnd(11, Outcome::Unknown, Reason::MinterGone);
    receiveForwarded("order-18", 12);
    replyToClaim(sent<model::ClaimRequest>().at(1), model::ClaimResult::HeldElsewhere, OtherEntry, OtherIncarnation);
    expectEnd(12, Outcome::Unknown, Reason::MinterGone); // A forwarded request isn't forwarded again.
    EXPECT_EQ(runs(), 0U);
}

TEST_F(IssuerTest, StoppingIssuerServesRepliesButNoNewKey)
{
    const std::string key = ownKey();
    post(key);
    entry_->startStopping(now_);
    receiveForwarded(key, 11);
    receiveForwarded(ownKey(), 12);
    expectEnd(12, Outcome::NotRun, Reason::Stopping);
    sendResponse(forward());
    expectEnd(11, Outcome::Answered, Reason::None);
}

TEST_F(IssuerTest, StoppingHostStillForwardsToTheIssuer)
{
    entry_->startStopping(now_);
    const HttpHandle handle = post(foreignKey());
    sendResponse(forward(), "booked", OtherEntry);
    EXPECT_EQ(bodies_[handle], "booked");
}

TEST_F(IssuerTest, BrokenBodyFromAnEntryHostIsNotDispatched)
{
    const std::string key = ownKey();
    deliver(OtherEntry,
        model::ForwardRequest {.correlation = {11},
            .purpose = model::ForwardPurpose::Mint,
            .service = Settlebox,
            .method = "POST",
            .path = "/wire",
            .bodyLength = 8,
            .deadline = 1s,
            .idempotencyKey = key});
    deliver(OtherEntry, model::ForwardBody {.correlation = {11}, .offset = 1, .bytes = "amount=1", .isLast = true});
    expectEnd(11, Outcome::NotRun, Reason::BadRequest);
    EXPECT_EQ(runs(), 0U);
}

} // namespace
} // namespace saltvane::requests
