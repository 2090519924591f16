/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "backpressurefixture.h"

/// Requests are checked again right before their first byte is sent: the state that their dispatch was based on may
/// have changed while the connection to the target was established or the process was stalled.
namespace saltvane::gateway::test {

namespace {

class RecheckTest : public BackpressureTest {
protected:
    /// Dispatches a request that "t-1" or "t-2" may get.
    requests::TargetStart dispatch(const CallerRequest& caller = {})
    {
        handle_ = request(caller);
        const std::vector<requests::TargetStart> starts = takeStarts();
        EXPECT_EQ(starts.size(), 1U);
        return starts.empty() ? requests::TargetStart {} : starts.front();
    }
    [[nodiscard]] model::Reason recheck(const requests::TargetStart& start)
    {
        return gateway_->recheckDispatch(start.dispatch, now_);
    }
    /// The target that the request is sent to after it was withheld; empty: none.
    TargetId targetAfterWithholding(const requests::TargetStart& start)
    {
        withhold(start, recheck(start));
        const std::vector<requests::TargetStart> starts = takeStarts();
        return starts.empty() ? TargetId() : starts.front().target;
    }
    void retire(const TargetId& target)
    {
        report({.orders = {.term = {1}, .index = {5}}, .retired = {{.target = target}}});
    }

    requests::HttpHandle handle_;
};

} // namespace

// Guards against requests to a target in the slow start of which the gateway heard only after their dispatch.
TEST_F(RecheckTest, TargetThatEnteredItsSlowStartGetsNoRequestsDispatchedBefore)
{
    installPlan(1);
    model::TargetRecord record = target("t-1");
    reportTargets({record});
    const requests::TargetStart start = dispatch();
    record.sequence = 2;
    record.slowStartLeft = 3s;
    record.slowStartHost = HostId("10.0.0.2:7000");
    reportTargets({record});
    EXPECT_EQ(recheck(start), model::Reason::NoTarget);
    reportTargets({target("t-2")});
    EXPECT_EQ(targetAfterWithholding(start), TargetId("t-2"));
}

// Guards against bursts that a gateway chose before it was cut off or suspended and sends at once after that.
TEST_F(RecheckTest, RequestsDispatchedByConfirmedStateAreWithheldOnceItIsOutOfDate)
{
    installPlan(1);
    reportTargets({target("t-1")});
    const requests::TargetStart start = dispatch();
    areAllPullsAnswered_ = false;
    advance(700ms);
    EXPECT_EQ(recheck(start), model::Reason::NoTarget);
}

TEST_F(RecheckTest, UnchangedDispatchIsSent)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    const requests::TargetStart start = dispatch();
    EXPECT_EQ(start.caller, handle_);
    EXPECT_EQ(recheck(start), model::Reason::None);
}

// Guards against requests that are sent after their deadline by a process that was stalled.
TEST_F(RecheckTest, RequestIsNotSentAfterItsDeadline)
{
    installPlan(1);
    reportTargets({target("t-1")});
    const requests::TargetStart start = dispatch({.deadlineMs = "1000"});
    now_ += 1s; // No tick: the process is stalled.
    ASSERT_EQ(recheck(start), model::Reason::DeadlineExceeded);
    withhold(start, model::Reason::DeadlineExceeded);
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "deadline-exceeded");
    EXPECT_EQ(response->status, 503) << "it was not run";
    EXPECT_TRUE(takeStarts().empty());
}

// Guards against requests to targets that left between the dispatch and the first byte.
TEST_F(RecheckTest, RequestToATargetThatLeftGoesElsewhere)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    const requests::TargetStart start = dispatch({.path = "/write/1"});
    retire(start.target);
    EXPECT_EQ(recheck(start), model::Reason::NoTarget);
    const TargetId next = targetAfterWithholding(start);
    EXPECT_NE(next, TargetId());
    EXPECT_NE(next, start.target);
}

// Guards against requests to targets that asked for no more of them between the dispatch and the first byte.
TEST_F(RecheckTest, RequestToATargetThatBacksOffGoesElsewhere)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2")});
    const requests::TargetStart first = dispatch();
    const requests::TargetStart second = dispatch({.id = "try-2"});
    ASSERT_EQ(first.target, second.target);
    answer(first, {.status = 503, .extraHeaders = {{"Saltvane-Not-Run", "1"}, {"Retry-After", "3"}}});
    (void)takeStarts(); // The retry.
    EXPECT_NE(targetAfterWithholding(second), first.target);
}

// Guards against requests by information that became outdated between the dispatch and the first byte: the stalled
// process has not read yet which targets left.
TEST_F(RecheckTest, StalledGatewayDoesNotSendWhatItDispatchedBefore)
{
    installPlan(1);
    reportTargets({target("t-1")});
    const requests::TargetStart start = dispatch({.path = "/write/1"});
    areAllPullsAnswered_ = false;
    now_ += 1800ms;
    ASSERT_EQ(recheck(start), model::Reason::StaleState);
    EXPECT_EQ(targetAfterWithholding(start), TargetId());
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "stale-state");
    EXPECT_NE(header(response->headers, "Retry-After"), "");
}

// A request that was withheld made no attempt: no target is blamed for it, and the plan's attempts and the retry budget
// are left for real failures.
TEST_F(RecheckTest, WithholdingIsNoAttemptAndNoFailure)
{
    installPlan(1);
    reportTargets({target("t-1"), target("t-2"), target("t-3"), target("t-4")});
    requests::TargetStart start = dispatch();
    for (int i = 0; i < 3; ++i) { // The route allows two attempts.
        withhold(start, model::Reason::NoTarget);
        const std::vector<requests::TargetStart> starts = takeStarts();
        ASSERT_EQ(starts.size(), 1U);
        EXPECT_EQ(starts.front().target, start.target) << "the target is usable, so it is still the first choice";
        start = starts.front();
    }
    EXPECT_EQ(gateway_->counters().value(model::Counter::Retries), 0U);
    EXPECT_EQ(gateway_->counters().withheldFor(model::Reason::NoTarget), 3U);
    answer(start, {});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_NE(takeDecisions().front().find(" tries=1 "), std::string::npos);
}

TEST_F(RecheckTest, RequestOfADisconnectedCallerEndsAsNotRun)
{
    installPlan(1);
    reportTargets({target("t-1")});
    const requests::TargetStart start = dispatch();
    withhold(start, model::Reason::ClientGone);
    EXPECT_TRUE(takeStarts().empty());
    EXPECT_FALSE(takeResponse()) << "nobody waits for it";
    const std::vector<std::string> lines = takeDecisions();
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines.front().find(" outcome=not-run reason=client-gone "), std::string::npos) << lines.front();
    abort(handle_); // The event of its connection comes later.
    EXPECT_TRUE(takeDecisions().empty());
}

// Guards against credits of limits that are lost to requests that were never sent.
TEST_F(RecheckTest, CreditOfAWithheldRequestServesTheNext)
{
    const TargetId limited = serveWithLimit();
    handle_ = request({});
    EXPECT_EQ(answerCreditRequests({.credits = 1}), 1U);
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    withhold(starts.front(), model::Reason::ClientGone);
    request({.id = "try-2"});
    EXPECT_EQ(takeCreditRequests().size(), 0U);
    const std::vector<requests::TargetStart> next = takeStarts();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next.front().target, limited);
}

} // namespace saltvane::gateway::test
