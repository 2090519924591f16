/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "ownerfixture.h"

namespace saltvane::requests {
namespace {

using model::Outcome;
using model::Reason;
using steering::DispatchResult;

class OwnerBodyTest : public OwnerFixture { };

TEST_F(OwnerBodyTest, ChunkedResponseEndsWithALastFrame)
{
    pool_.add("a", 1);
    deliver(request(1));
    handleTargetEvent(TargetResponseHead {.dispatch = lastDispatch(), .status = 200});
    handleTargetEvent(TargetResponseBody {.dispatch = lastDispatch(), .bytes = "x"});
    EXPECT_FALSE(sent<model::ForwardBody>().back().isLast);
    handleTargetEvent(TargetResponseDone {.dispatch = lastDispatch()});
    EXPECT_TRUE(sent<model::ForwardBody>().back().isLast);
    expectEnd(Outcome::Answered, Reason::None);
}

TEST_F(OwnerBodyTest, HeadResponseStatesALengthWithoutABody)
{
    pool_.add("a", 1);
    model::ForwardRequest head = request(1);
    head.method = "HEAD";
    deliver(head);
    handleTargetEvent(TargetResponseHead {.dispatch = lastDispatch(), .status = 200, .bodyLength = 500});
    handleTargetEvent(TargetResponseDone {.dispatch = lastDispatch()});
    expectEnd(Outcome::Answered, Reason::None);
    EXPECT_TRUE(sent<model::ForwardBody>().empty());
    EXPECT_EQ(sent<model::ForwardResponseHead>().front().bodyLength, 500U);
}

TEST_F(OwnerBodyTest, ShortResponseIsUnknown)
{
    pool_.add("a", 1);
    deliver(request(1));
    handleTargetEvent(TargetResponseHead {.dispatch = lastDispatch(), .status = 200, .bodyLength = 10});
    handleTargetEvent(TargetResponseBody {.dispatch = lastDispatch(), .bytes = "short"});
    handleTargetEvent(TargetResponseDone {.dispatch = lastDispatch()});
    expectEnd(Outcome::Unknown, Reason::TargetFailed);
    EXPECT_EQ(counters_.value(model::Counter::BrokenBodies), 1U);
}

TEST_F(OwnerBodyTest, LongResponseIsUnknownAndCut)
{
    pool_.add("a", 1);
    deliver(request(1));
    handleTargetEvent(TargetResponseHead {.dispatch = lastDispatch(), .status = 200, .bodyLength = 2});
    handleTargetEvent(TargetResponseBody {.dispatch = lastDispatch(), .bytes = "long"});
    expectEnd(Outcome::Unknown, Reason::TargetFailed);
    EXPECT_EQ(actions<TargetCancel>().size(), 1U);
    EXPECT_TRUE(sent<model::ForwardBody>().empty());
}

TEST_F(OwnerBodyTest, ResponseWaitsForTheEntryHostsWindow)
{
    constexpr size_t Size = 2 * InitialBodyWindow;
    pool_.add("a", 1);
    deliver(request(1));
    const DispatchId dispatch = lastDispatch();
    handleTargetEvent(TargetResponseHead {.dispatch = dispatch, .status = 200, .bodyLength = Size});
    handleTargetEvent(TargetResponseBody {.dispatch = dispatch, .bytes = std::string(InitialBodyWindow + 1000, 'x')});
    uint64_t sentBytes = 0;
    for (const model::ForwardBody& frame : sent<model::ForwardBody>()) {
        EXPECT_LE(frame.bytes.size(), 64U * 1024);
        EXPECT_EQ(frame.offset, sentBytes);
        sentBytes += frame.bytes.size();
    }
    EXPECT_EQ(sentBytes, InitialBodyWindow);
    EXPECT_TRUE(actions<TargetResponseWindow>().empty());
    clearActions();
    deliver(model::ForwardWindow {.correlation = {1}, .direction = model::Direction::ToClient, .bytes = 5000});
    ASSERT_EQ(sent<model::ForwardBody>().size(), 1U);
    EXPECT_EQ(sent<model::ForwardBody>().front().bytes.size(), 1000U);
    ASSERT_EQ(actions<TargetResponseWindow>().size(), 1U);
    EXPECT_EQ(actions<TargetResponseWindow>().front().bytes, 5000U);
}

TEST_F(OwnerBodyTest, SlotIsReleasedWhenTheTargetFinishesEvenIfTheEntryHostIsSlow)
{
    pool_.add("a", 1);
    deliver(request(1));
    const DispatchId dispatch = lastDispatch();
    handleTargetEvent(TargetResponseHead {.dispatch = dispatch, .status = 200});
    handleTargetEvent(TargetResponseBody {.dispatch = dispatch, .bytes = std::string(InitialBodyWindow + 10, 'x')});
    handleTargetEvent(TargetResponseDone {.dispatch = dispatch});
    EXPECT_EQ(pool_.inFlight(), 0U);
    EXPECT_EQ(owner_->inFlight(), 1U);
    EXPECT_TRUE(sent<model::ForwardEnd>().empty());
    deliver(model::ForwardWindow {.correlation = {1}, .direction = model::Direction::ToClient, .bytes = 10});
    EXPECT_TRUE(sent<model::ForwardBody>().back().isLast);
    expectEnd(Outcome::Answered, Reason::None);
}

TEST_F(OwnerBodyTest, WindowForBytesNeverSentEndsTheRequest)
{
    pool_.add("a", 1);
    deliver(request(1));
    handleTargetEvent(TargetResponseHead {.dispatch = lastDispatch(), .status = 200});
    deliver(model::ForwardWindow {.correlation = {1}, .direction = model::Direction::ToClient, .bytes = 1});
    expectEnd(Outcome::Unknown, Reason::BadRequest);
    EXPECT_EQ(counters_.value(model::Counter::BrokenBodies), 1U);
}

TEST_F(OwnerBodyTest, UploadWindowGrowsWithBytesTakenByTheTarget)
{
    pool_.add("a", 1);
    model::ForwardRequest upload = request(1);
    upload.bodyLength = std::nullopt;
    deliver(upload);
    deliver(body(1, 0, std::string(InitialBodyWindow, 'x')));
    EXPECT_EQ(actions<TargetRequestBody>().back().bytes.size(), InitialBodyWindow);
    handleTargetEvent(TargetRequestProgress {.dispatch = lastDispatch(), .bytes = 100'000});
    ASSERT_EQ(sent<model::ForwardWindow>().size(), 1U);
    EXPECT_EQ(sent<model::ForwardWindow>().front().bytes, 100'000U);
    deliver(body(1, InitialBodyWindow, std::string(100'000, 'y')));
    EXPECT_TRUE(sent<model::ForwardEnd>().empty());
    deliver(body(1, InitialBodyWindow + 100'000, "z"));
    expectEnd(Outcome::Unknown, Reason::BadRequest);
    EXPECT_EQ(actions<TargetCancel>().size(), 1U);
}

TEST_F(OwnerBodyTest, BodyBeyondTheWindowIsNotSentToASecondTarget)
{
    pool_.add("a", 1);
    pool_.add("b", 1);
    model::ForwardRequest upload = request(1);
    upload.bodyLength = std::nullopt;
    deliver(upload);
    deliver(body(1, 0, std::string(InitialBodyWindow, 'x')));
    handleTargetEvent(TargetRequestProgress {.dispatch = lastDispatch(), .bytes = InitialBodyWindow});
    deliver(body(1, InitialBodyWindow, "y"));
    handleTargetEvent(TargetResponseHead {.dispatch = lastDispatch(), .status = 429});
    expectEnd(Outcome::NotRun, Reason::TargetShed);
    EXPECT_EQ(actions<TargetStart>().size(), 1U);
}

TEST_F(OwnerBodyTest, BrokenBodyOfAWaiterIsNotRun)
{
    pool_.add("a", 1);
    deliver(request(1));
    model::ForwardRequest upload = request(2);
    upload.bodyLength = 10;
    deliver(upload);
    deliver(body(2, 3, "gap"));
    expectEnd(Outcome::NotRun, Reason::BadRequest);
    EXPECT_EQ(owner_->queued(ServiceName("quotes")), 0U);
}

TEST_F(OwnerBodyTest, BodyOfAnotherLengthThanAnnouncedIsBroken)
{
    pool_.add("a", 1);
    model::ForwardRequest upload = request(1);
    upload.bodyLength = 10;
    deliver(upload);
    deliver(body(1, 0, "short", true));
    expectEnd(Outcome::Unknown, Reason::BadRequest);
}

TEST_F(OwnerBodyTest, SlowSenderIsNotTheTargetsFault)
{
    pool_.add("a", 1);
    model::ForwardRequest upload = request(1);
    upload.bodyLength = 10;
    deliver(upload);
    advanceTime(2s);
    expectEnd(Outcome::Unknown, Reason::DeadlineExceeded);
    advanceTime(10ms);
    EXPECT_EQ(pool_.releases().front().result, DispatchResult::Cancelled);
}

} // namespace
} // namespace saltvane::requests
