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

/// Requests that one entry host hands to the minter of their key: both sides.
class MinterTest : public EntryFixture {
protected:
    model::ForwardRequest forward(size_t index = 0) { return sent<model::ForwardRequest>().at(index); }
    size_t runs() { return sent<model::ForwardRequest>().size(); }
    /// Another entry host hands a request with this key to this one.
    void mint(const std::string& key, uint64_t correlation, Incarnation incarnation = OtherIncarnation)
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

TEST_F(MinterTest, ForeignTokenGoesToItsMinterAndTheAnswerBack)
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
    end(forward(), Outcome::Answered, Reason::None, OtherEntry);
    EXPECT_EQ(bodies_[handle], "ok");
    EXPECT_EQ(headerOf(response(handle).headers, ReplayedHeader), "true");
    EXPECT_EQ(wallet_.taken(), 0);
}

TEST_F(MinterTest, MintersRefusalIsPassedOnWithoutRetry)
{
    const HttpHandle first = post(foreignKey());
    end(forward(), Outcome::NotRun, Reason::NoRoom, OtherEntry);
    expectRefusal(first, Outcome::NotRun, Reason::NoRoom, 503);
    const HttpHandle second = post(foreignKey());
    end(forward(1), Outcome::Unknown, Reason::KeyInUse, OtherEntry);
    expectRefusal(second, Outcome::Unknown, Reason::KeyInUse, 409);
    EXPECT_EQ(runs(), 2U);
}

TEST_F(MinterTest, MinterGoneOrRestartedIsUnknown)
{
    expectRefusal(post(foreignKey(HostId("cue-1"))), Outcome::Unknown, Reason::MinterGone, 409);
    expectRefusal(post(foreignKey(OtherEntry, {4})), Outcome::Unknown, Reason::MinterGone, 409);
    expectRefusal(post(foreignKey(SelfHost, {SelfIncarnation.value - 1})), Outcome::Unknown, Reason::MinterGone, 409);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(MinterTest, MinterIsAskedOnceMoreAfterTheLinkBroke)
{
    const HttpHandle handle = post(foreignKey());
    entry_->noteHostLost(OtherEntry, now_);
    collect();
    EXPECT_FALSE(hasResponse(handle));
    pass(200ms);
    ASSERT_EQ(runs(), 2U);
    EXPECT_EQ(sent<model::ForwardBody>().back().bytes, "amount=1");
    answer(forward(1), "booked", OtherEntry);
    EXPECT_EQ(bodies_[handle], "booked");

    const HttpHandle unlucky = post(foreignKey());
    finder_.alive.erase(OtherEntry);
    entry_->noteHostLost(OtherEntry, now_);
    pass(200ms);
    expectRefusal(unlucky, Outcome::Unknown, Reason::MinterGone, 409);
}

TEST_F(MinterTest, LinkThatStaysBrokenIsUnknownAtTheDeadline)
{
    const HttpHandle handle = post(foreignKey());
    for (int count = 0; count < 5; ++count) {
        entry_->noteHostLost(OtherEntry, now_);
        pass(200ms);
    }
    expectRefusal(handle, Outcome::Unknown, Reason::PeerLost, 502);
    EXPECT_EQ(runs(), 3U);
    EXPECT_EQ(entry_->inFlight(), 1U);
}

TEST_F(MinterTest, RunsTheKeyOnceForCallersOfTwoHosts)
{
    const std::string key = ownKey();
    const HttpHandle local = post(key);
    mint(key, 11);
    ASSERT_EQ(runs(), 1U);
    answer(forward(), "booked");
    EXPECT_EQ(bodies_[local], "booked");
    const auto heads = sent<model::ForwardResponseHead>();
    ASSERT_EQ(heads.size(), 1U);
    EXPECT_EQ(headerOf(heads[0].headers, ReplayedHeader), "true");
    const auto bodies = sent<model::ForwardBody>();
    EXPECT_EQ(bodies.back().bytes + bodies[bodies.size() - 2].bytes, "booked");
    EXPECT_TRUE(bodies.back().isLast);
    expectEnd(11, Outcome::Answered, Reason::None);
}

TEST_F(MinterTest, RepeatedFrameDoesNotRunAgainWhatWasToldAsNotRun)
{
    const std::string key = ownKey();
    mint(key, 11);
    end(forward(), Outcome::NotRun, Reason::QueueTimeout);
    expectEnd(11, Outcome::NotRun, Reason::QueueTimeout);
    mint(key, 11);
    mint(key, 10);
    mint(key, 12, {OtherIncarnation.value - 1});
    EXPECT_EQ(runs(), 1U);
    EXPECT_EQ(counters_.value(model::Counter::StaleMessages), 3U);
    mint(key, 1, {OtherIncarnation.value + 1});
    EXPECT_EQ(runs(), 2U);
}

TEST_F(MinterTest, CancelledRunGoesOnForItsKey)
{
    const std::string key = ownKey();
    mint(key, 11);
    deliver(OtherEntry, model::ForwardCancel {.correlation = {11}});
    expectEnd(11, Outcome::Unknown, Reason::ClientGone);
    EXPECT_TRUE(sent<model::ForwardCancel>().empty());
    answer(forward(), "booked");
    expectEnd(11, Outcome::Unknown, Reason::ClientGone);
    const HttpHandle resend = post(key);
    EXPECT_EQ(bodies_[resend], "booked");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(MinterTest, LostEntryHostLeavesTheRunGoingOn)
{
    const std::string key = ownKey();
    mint(key, 11);
    entry_->noteHostLost(OtherEntry, now_);
    collect();
    answer(forward(), "booked");
    EXPECT_TRUE(ends(11).empty());
    EXPECT_EQ(bodies_[post(key)], "booked");
}

TEST_F(MinterTest, DeadlineOfAForwardedRequestEndsItOnce)
{
    mint(ownKey(), 11);
    pass(1s);
    expectEnd(11, Outcome::Unknown, Reason::DeadlineExceeded);
    answer(forward());
    EXPECT_EQ(ends(11).size(), 1U);
    EXPECT_EQ(entry_->inFlight(), 0U);
}

/// A host that was restarted knows nothing of keys that its earlier start claimed; the log does.
TEST_F(MinterTest, CallerMadeKeyIsClaimedAgainByAHolderThatDoesNotKnowIt)
{
    mint("order-17", 11);
    EXPECT_EQ(runs(), 0U);
    reply(sent<model::ClaimRequest>().at(0), model::ClaimResult::HeldElsewhere, SelfHost, {3});
    expectEnd(11, Outcome::Unknown, Reason::MinterGone);
    mint("order-18", 12);
    reply(sent<model::ClaimRequest>().at(1), model::ClaimResult::HeldElsewhere, OtherEntry, OtherIncarnation);
    expectEnd(12, Outcome::Unknown, Reason::MinterGone); // no second hop
    EXPECT_EQ(runs(), 0U);
}

TEST_F(MinterTest, StoppingMinterServesRepliesButNoNewKey)
{
    const std::string key = ownKey();
    post(key);
    entry_->startStopping(now_);
    mint(key, 11);
    mint(ownKey(), 12);
    expectEnd(12, Outcome::NotRun, Reason::Stopping);
    answer(forward());
    expectEnd(11, Outcome::Answered, Reason::None);
}

TEST_F(MinterTest, StoppingHostStillAsksTheMinter)
{
    entry_->startStopping(now_);
    const HttpHandle handle = post(foreignKey());
    answer(forward(), "booked", OtherEntry);
    EXPECT_EQ(bodies_[handle], "booked");
}

TEST_F(MinterTest, BrokenBodyFromAnEntryHostIsNotDispatched)
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
