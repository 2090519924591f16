/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

namespace saltvane::gateway::test {

namespace {

/// Follows the diagnoses in docs/OPERATIONS.md, from the id of a failed request to the cause.
class DecisionTest : public GatewayFixture {
protected:
    std::string lineOf(const std::string& id)
    {
        for (const std::string& line : takeDecisions()) {
            if (line.find(" id=" + id + " ") != std::string::npos)
                return line;
        }
        return {};
    }
    std::vector<std::string> linesOf(const std::string& event)
    {
        std::vector<std::string> lines = drainLogLines();
        std::erase_if(lines, [&](const std::string& line) { return !line.starts_with("event=" + event + " "); });
        return lines;
    }
    static bool has(const std::string& line, const std::string& field)
    {
        return (line + " ").find(" " + field + " ") != std::string::npos;
    }
};

} // namespace

TEST_F(DecisionTest, RefusedForLackOfHeadroom)
{
    installPlan(7);
    reportTargets({target("t-1")});
    for (int i = 0; i < 9; ++i) // Three slots and a queue of six.
        request({.object = std::to_string(i), .deadlineMs = "9000"});
    request({.id = "lost", .object = "99"});
    const std::string line = lineOf("lost");
    EXPECT_TRUE(has(line, "outcome=not-run")) << line;
    EXPECT_TRUE(has(line, "known=1"));
    EXPECT_TRUE(has(line, "usable=1"));
    EXPECT_TRUE(has(line, "plan=7"));
    EXPECT_TRUE(has(line, "status=503"));
}

TEST_F(DecisionTest, LogsTimeUntilTheFirstByteWasSent)
{
    installPlan(7);
    reportTargets({target("t-1")});
    const requests::HttpHandle late = request({.id = "late"});
    const requests::HttpHandle unsent = request({.id = "unsent"});
    const requests::TargetStart start = takeStarts().at(0);
    advance(300ms);
    EXPECT_EQ(gateway_->recheckDispatch(start.dispatch, now_), model::Reason::None);
    advance(40ms);
    abort(late);
    EXPECT_TRUE(has(lineOf("late"), "send_ms=300"));
    abort(unsent);
    EXPECT_TRUE(has(lineOf("unsent"), "send_ms=-"));
}

TEST_F(DecisionTest, LogsTheOrdersByWhichTheTargetWasChosen)
{
    installPlan(7);
    report({.orders = {.term = {1}, .index = {42}}, .targets = {target("t-1")}});
    const requests::HttpHandle sent = request({.id = "sent"});
    report({.orders = {.term = {1}, .index = {43}}});
    abort(sent);
    EXPECT_TRUE(has(lineOf("sent"), "orders=42"));
}

TEST_F(DecisionTest, LogsAgeOfPlanProof)
{
    installPlan(7);
    advance(900ms);
    request({.path = "/unknown/1", .id = "refused"});
    const std::string line = lineOf("refused");
    EXPECT_NE(line.find(" plan_age_ms=9"), std::string::npos) << line;
}

TEST_F(DecisionTest, UnprovenAndProvenPlanAreLoggedOnceEach)
{
    installPlan(7);
    advance(2s);
    EXPECT_EQ(linesOf("plan_unproven").size(), 1U);
    installPlan(8);
    EXPECT_EQ(linesOf("plan_proven").size(), 1U);
}

TEST_F(DecisionTest, UnknownAfterTargetFailure)
{
    installPlan(7);
    reportTargets({target("t-1")});
    request({.method = "POST", .path = "/write/1", .id = "lost"});
    fail(takeStarts().at(0), true);
    const std::string line = lineOf("lost");
    EXPECT_TRUE(has(line, "outcome=unknown")) << line;
    EXPECT_TRUE(has(line, "reason=target-failed"));
    EXPECT_TRUE(has(line, "target=t-1"));
    EXPECT_TRUE(has(line, "tries=1"));
}

TEST_F(DecisionTest, RefusedWithoutPlan)
{
    request({.id = "lost"});
    const std::string line = lineOf("lost");
    EXPECT_TRUE(has(line, "reason=not-ready")) << line;
    EXPECT_TRUE(has(line, "plan=0"));
}

TEST_F(DecisionTest, SentByOutdatedTargetRecord)
{
    installPlan(7);
    model::TargetRecord old = target("t-1");
    old.age = 8s;
    reportTargets({old});
    request({.id = "lost"});
    answer(takeStarts().at(0), {.status = 421, .id = "lost"}); // Another target has the address by now.
    const std::string line = lineOf("lost");
    EXPECT_TRUE(has(line, "target_age_ms=8000")) << line;
    EXPECT_TRUE(has(line, "target=t-1"));
    EXPECT_TRUE(has(line, "outcome=not-run"));
}

TEST_F(DecisionTest, RequestIdIsSanitized)
{
    request({.id = "a outcome=answered"});
    EXPECT_FALSE(lineOf("a_outcome_answered").empty());
}

TEST_F(DecisionTest, LogLinesAreRateLimited)
{
    for (int i = 0; i < 500; ++i)
        request({.id = std::to_string(i)});
    EXPECT_LE(takeDecisions().size(), 40U);
}

} // namespace saltvane::gateway::test
