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

class OwnerRequestsTest : public OwnerFixture { };

TEST_F(OwnerRequestsTest, AnswersAndReleasesTheSlot)
{
    pool_.add("a", 1);
    deliver(request(1));
    ASSERT_EQ(actions<TargetStart>().size(), 1U);
    advanceTime(20ms);
    sendResponse(lastDispatch(), "hello");
    expectEnd(Outcome::Answered, Reason::None);
    const auto bodies = sent<model::ForwardBody>();
    ASSERT_EQ(bodies.size(), 1U);
    EXPECT_EQ(bodies.front().bytes, "hello");
    EXPECT_TRUE(bodies.front().isLast);
    ASSERT_EQ(pool_.releases().size(), 1U);
    EXPECT_EQ(pool_.releases().front().result, DispatchResult::Answered);
    EXPECT_EQ(pool_.releases().front().latency, 20ms);
    ASSERT_EQ(actions<AccessRecord>().size(), 1U);
    EXPECT_TRUE(actions<AccessRecord>().front().isOwnerSide);
    EXPECT_EQ(owner_->inFlight(), 0U);
}

TEST_F(OwnerRequestsTest, InternalAndHopByHopHeadersAreNotForwarded)
{
    pool_.add("a", 1);
    deliver(request(1));
    handleTargetEvent(TargetResponseHead {.dispatch = lastDispatch(),
        .status = 200,
        .headers = {{"saltvane-outcome", "forged"}, {"Connection", "close, X-Hop"}, {"x-hop", "1"},
            {"Transfer-Encoding", "chunked"}, {"Content-Type", "text/plain"}},
        .bodyLength = 0});
    const auto headers = sent<model::ForwardResponseHead>().front().headers;
    ASSERT_EQ(headers.size(), 1U);
    EXPECT_EQ(headers.front().name, "Content-Type");
}

TEST_F(OwnerRequestsTest, PassedDeadlineIsNotRun)
{
    pool_.add("a", 1);
    model::ForwardRequest late = request(1);
    late.deadline = 0s;
    deliver(late);
    expectEnd(Outcome::NotRun, Reason::DeadlineExceeded);
    EXPECT_TRUE(actions<TargetStart>().empty());
}

TEST_F(OwnerRequestsTest, NoTargetIsNotRun)
{
    deliver(request(1));
    expectEnd(Outcome::NotRun, Reason::NoTarget);
}

TEST_F(OwnerRequestsTest, AllTargetsExcludedIsNoTarget)
{
    pool_.add("a", 1);
    model::ForwardRequest second = request(1);
    second.excludedTargets = {TargetId("a")};
    deliver(second);
    expectEnd(Outcome::NotRun, Reason::NoTarget);
}

TEST_F(OwnerRequestsTest, FullQueueRefusesWithRetryAfter)
{
    pool_.add("a", 1);
    deliver(request(1));
    deliver(request(2));
    EXPECT_EQ(owner_->queued(ServiceName("quotes")), 1U);
    EXPECT_TRUE(sent<model::ForwardEnd>().empty());
    deliver(request(3));
    expectEnd(Outcome::NotRun, Reason::QueueFull);
    EXPECT_EQ(sent<model::ForwardEnd>().front().correlation.value, 3U);
    EXPECT_GT(sent<model::ForwardEnd>().front().retryAfter, 0s);
}

TEST_F(OwnerRequestsTest, WaiterGetsTheFreedSlotWithItsBufferedBody)
{
    pool_.add("a", 1);
    deliver(request(1));
    model::ForwardRequest waiting = request(2);
    waiting.bodyLength = 5;
    deliver(waiting);
    deliver(body(2, 0, "he"));
    deliver(body(2, 2, "llo", true));
    const DispatchId first = lastDispatch();
    sendResponse(first, "");
    ASSERT_EQ(actions<TargetStart>().size(), 2U);
    ASSERT_EQ(actions<TargetRequestBody>().size(), 1U);
    EXPECT_EQ(actions<TargetRequestBody>().front().bytes, "hello");
    EXPECT_TRUE(actions<TargetRequestBody>().front().isLast);
}

TEST_F(OwnerRequestsTest, WaiterPastItsDeadlineIsNotRun)
{
    pool_.add("a", 1);
    model::ForwardRequest first = request(1);
    first.deadline = 10s;
    deliver(first);
    deliver(request(2));
    advanceTime(2100ms);
    expectEnd(Outcome::NotRun, Reason::QueueTimeout);
    EXPECT_EQ(owner_->queued(ServiceName("quotes")), 0U);
}

TEST_F(OwnerRequestsTest, WaiterThatExcludesTheFreeTargetDoesNotBlockOthers)
{
    pool_.add("a", 1);
    pool_.add("b", 1);
    deliver(request(1));
    deliver(request(2));
    const DispatchId onA = actions<TargetStart>().front().dispatch;
    model::ForwardRequest restricted = request(3);
    restricted.excludedTargets = {TargetId("a")};
    deliver(restricted);
    deliver(request(4));
    sendResponse(onA, "");
    ASSERT_EQ(actions<TargetStart>().size(), 3U);
    EXPECT_EQ(actions<TargetStart>().back().target, TargetId("a"));
    EXPECT_EQ(owner_->queued(ServiceName("quotes")), 1U);
    EXPECT_EQ(pool_.inFlight(), 2U);
}

TEST_F(OwnerRequestsTest, ShedGoesToAnotherTarget)
{
    pool_.add("a", 1);
    pool_.add("b", 1);
    model::ForwardRequest posted = request(1);
    posted.bodyLength = 3;
    deliver(posted);
    deliver(body(1, 0, "abc", true));
    handleTargetEvent(TargetResponseHead {.dispatch = lastDispatch(), .status = 429});
    ASSERT_EQ(actions<TargetStart>().size(), 2U);
    EXPECT_EQ(actions<TargetStart>().back().target, TargetId("b"));
    EXPECT_EQ(actions<TargetRequestBody>().back().bytes, "abc");
    EXPECT_EQ(pool_.releases().front().result, DispatchResult::Shed);
    sendResponse(lastDispatch(), "ok");
    expectEnd(Outcome::Answered, Reason::None);
    EXPECT_EQ(sent<model::ForwardEnd>().front().tries, 2U);
    EXPECT_EQ(counters_.value(model::Counter::Retries), 1U);
}

TEST_F(OwnerRequestsTest, ShedByAllIsNotRunWithTheTargetsRetryAfter)
{
    pool_.add("a", 1);
    deliver(request(1));
    handleTargetEvent(TargetResponseHead {
        .dispatch = lastDispatch(), .status = 503, .headers = {{"saltvane-shed", "1"}, {"Retry-After", "7"}}});
    expectEnd(Outcome::NotRun, Reason::TargetShed);
    EXPECT_EQ(sent<model::ForwardEnd>().front().retryAfter, 7s);
    EXPECT_EQ(actions<TargetCancel>().size(), 1U);
}

TEST_F(OwnerRequestsTest, UnmarkedUnavailableIsPassedOn)
{
    pool_.add("a", 1);
    deliver(request(1));
    handleTargetEvent(TargetResponseHead {.dispatch = lastDispatch(), .status = 503, .bodyLength = 0});
    handleTargetEvent(TargetResponseDone {.dispatch = lastDispatch()});
    expectEnd(Outcome::Answered, Reason::None);
}

TEST_F(OwnerRequestsTest, UnsentFailureGoesToAnotherTargetThenIsNotRun)
{
    pool_.add("a", 1);
    pool_.add("b", 1);
    deliver(request(1));
    handleTargetEvent(TargetFailed {.dispatch = lastDispatch(), .mayHaveReachedTarget = false});
    ASSERT_EQ(actions<TargetStart>().size(), 2U);
    handleTargetEvent(TargetFailed {.dispatch = lastDispatch(), .mayHaveReachedTarget = false});
    expectEnd(Outcome::NotRun, Reason::ConnectFailed);
    EXPECT_EQ(sent<model::ForwardEnd>().front().tries, 0U);
}

// Guards against requests that reach a target after their deadline, because the process was stalled between the
// dispatch and the first byte.
TEST_F(OwnerRequestsTest, DispatchIsNotSentAfterTheDeadline)
{
    pool_.add("a", 1);
    pool_.add("b", 1);
    model::ForwardRequest timed = request(1);
    timed.deadline = 500ms;
    deliver(timed);
    EXPECT_EQ(owner_->recheck(lastDispatch(), now_ + 499ms), Reason::None);
    EXPECT_EQ(owner_->recheck(lastDispatch(), now_ + 500ms), Reason::DeadlineExceeded);
    handleTargetEvent(TargetFailed {
        .dispatch = lastDispatch(), .mayHaveReachedTarget = false, .withheldFor = Reason::DeadlineExceeded});
    expectEnd(Outcome::NotRun, Reason::DeadlineExceeded);
    EXPECT_EQ(actions<TargetStart>().size(), 1U);
    EXPECT_EQ(sent<model::ForwardEnd>().front().tries, 0U);
}

TEST_F(OwnerRequestsTest, FailureOfANonRepeatableIsUnknown)
{
    pool_.add("a", 1);
    pool_.add("b", 1);
    deliver(request(1));
    handleTargetEvent(TargetFailed {.dispatch = lastDispatch()});
    expectEnd(Outcome::Unknown, Reason::TargetFailed);
    EXPECT_EQ(actions<TargetStart>().size(), 1U);
}

TEST_F(OwnerRequestsTest, RepeatableThatMayHaveRunIsNeverReportedNotRun)
{
    pool_.add("a", 1);
    pool_.add("b", 1);
    model::ForwardRequest repeatable = request(1);
    repeatable.isRepeatable = true;
    deliver(repeatable);
    handleTargetEvent(TargetFailed {.dispatch = lastDispatch()});
    ASSERT_EQ(actions<TargetStart>().size(), 2U);
    EXPECT_TRUE(actions<TargetStart>().back().isRepeatable);
    handleTargetEvent(TargetFailed {.dispatch = lastDispatch(), .mayHaveReachedTarget = false});
    expectEnd(Outcome::Unknown, Reason::TargetFailed);
}

TEST_F(OwnerRequestsTest, CancelOfAWaiterIsNotRun)
{
    pool_.add("a", 1);
    deliver(request(1));
    deliver(request(2));
    deliver(model::ForwardCancel {.correlation = {2}, .reason = Reason::ClientGone});
    expectEnd(Outcome::NotRun, Reason::ClientGone);
}

TEST_F(OwnerRequestsTest, CancelledSlotIsReleasedAfterTheConnectionCloses)
{
    pool_.add("a", 1);
    deliver(request(1));
    deliver(model::ForwardCancel {.correlation = {1}, .reason = Reason::ClientGone});
    expectEnd(Outcome::Unknown, Reason::ClientGone);
    EXPECT_EQ(actions<TargetCancel>().size(), 1U);
    EXPECT_EQ(pool_.inFlight(), 1U);
    advanceTime(10ms);
    EXPECT_EQ(pool_.inFlight(), 0U);
    EXPECT_EQ(pool_.releases().front().result, DispatchResult::Cancelled);
}

TEST_F(OwnerRequestsTest, UnresponsiveTargetIsStalled)
{
    pool_.add("a", 1);
    deliver(request(1));
    advanceTime(2s);
    expectEnd(Outcome::Unknown, Reason::TargetStalled);
    EXPECT_EQ(actions<TargetCancel>().size(), 1U);
    advanceTime(10ms);
    EXPECT_EQ(pool_.releases().front().result, DispatchResult::Failed);
}

TEST_F(OwnerRequestsTest, RequestsOfALostHostAreCancelledWithoutAReply)
{
    pool_.add("a", 1);
    deliver(request(1));
    deliver(request(2));
    deliver(request(1), 1, "other");
    owner_->onHostLost(HostId("entry"), now_);
    clearActions();
    advanceTime(10ms);
    EXPECT_TRUE(sent<model::ForwardEnd>().empty());
    ASSERT_EQ(actions<TargetStart>().size(), 0U);
    EXPECT_EQ(owner_->inFlight(), 0U);
}

TEST_F(OwnerRequestsTest, DuplicateNeverRunsAgain)
{
    pool_.add("a", 2);
    deliver(request(1));
    deliver(request(1));
    sendResponse(lastDispatch(), "");
    deliver(request(1));
    EXPECT_EQ(actions<TargetStart>().size(), 1U);
    EXPECT_EQ(counters_.value(model::Counter::LateFrames), 2U);
    expectEnd(Outcome::Answered, Reason::None);
}

TEST_F(OwnerRequestsTest, DuplicateOfALongEndedRequestNeverRunsAgain)
{
    constexpr uint64_t Many = 10'000;
    for (uint64_t correlation = 1; correlation <= Many; ++correlation)
        deliver(request(correlation));
    ASSERT_EQ(sent<model::ForwardEnd>().size(), Many);
    pool_.add("a", 1);
    deliver(request(1));
    deliver(request(Many));
    EXPECT_TRUE(actions<TargetStart>().empty());
    deliver(request(Many + 1));
    EXPECT_EQ(actions<TargetStart>().size(), 1U);
}

TEST_F(OwnerRequestsTest, RestartedEntryHostsOldRequestsAreCancelledAndOldFramesDropped)
{
    pool_.add("a", 3);
    deliver(request(1), 1);
    deliver(request(1), 2);
    EXPECT_EQ(actions<TargetCancel>().size(), 1U);
    EXPECT_EQ(actions<TargetStart>().size(), 2U);
    deliver(request(2), 1);
    EXPECT_EQ(actions<TargetStart>().size(), 2U);
    EXPECT_EQ(counters_.value(model::Counter::StaleMessages), 1U);
}

TEST_F(OwnerRequestsTest, EventsOfEndedDispatchesAreIgnored)
{
    pool_.add("a", 1);
    deliver(request(1));
    const DispatchId first = lastDispatch();
    sendResponse(first, "");
    deliver(request(2));
    clearActions();
    handleTargetEvent(TargetResponseHead {.dispatch = first, .status = 200});
    handleTargetEvent(TargetResponseBody {.dispatch = first, .bytes = "late"});
    handleTargetEvent(TargetFailed {.dispatch = first});
    EXPECT_TRUE(actions_.empty());
}

TEST_F(OwnerRequestsTest, TerminateAllEndsAllAndCountsDispatched)
{
    pool_.add("a", 1);
    deliver(request(1));
    deliver(request(2));
    EXPECT_EQ(owner_->terminateAll(now_), 1U);
    advanceTime(0ms);
    const auto ends = sent<model::ForwardEnd>();
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[0].outcome, Outcome::Unknown);
    EXPECT_EQ(ends[0].reason, Reason::StopTimeLimit);
    EXPECT_EQ(ends[1].outcome, Outcome::NotRun);
    EXPECT_EQ(pool_.inFlight(), 0U);
}

} // namespace
} // namespace saltvane::requests
