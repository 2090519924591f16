/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

/// How old a gateway's word of targets may be for requests to be sent by it.
namespace saltvane::gateway::test {

namespace {

class WordAgeTest : public GatewayFixture {
protected:
    explicit WordAgeTest(const FixtureOptions& options = {})
        : GatewayFixture(options)
    {
        installPlan(1);
        reportTargets({target("t-1")});
        areAllPullsAnswered_ = false;
    }
    /// Whether a request is sent to a target; else it is refused, with the time to come back.
    bool isSent()
    {
        request({});
        const std::vector<requests::TargetStart> starts = takeStarts();
        if (!starts.empty())
            answer(starts.front(), {});
        const auto response = takeResponse();
        if (!starts.empty())
            return true;
        EXPECT_TRUE(response && response->status == 503 && !header(response->headers, "Retry-After").empty());
        return false;
    }
    /// The registry's word goes on coming, in the order in which it was said.
    void hearOldWord(Duration duration)
    {
        for (const Timestamp end = now_ + duration; now_ < end;) {
            advance(100ms);
            report({.orders = {.term = {1}, .index = {5}}});
        }
    }
};

} // namespace

/// Guards against requests to targets that have left, by a gateway that stood still and has not read yet who left.
TEST_F(WordAgeTest, AGatewayThatStoodStillSendsNothingBeforeItHasHeardTheRegistryAgain)
{
    EXPECT_TRUE(isSent());
    now_ += 3s; // No tick: its process did nothing.
    EXPECT_FALSE(isSent());
    advance(100ms);
    EXPECT_FALSE(isSent());
    answerPull();
    EXPECT_TRUE(isSent());
}

/// Guards against requests to targets that have left, by a gateway that hears who left seconds late.
TEST_F(WordAgeTest, AGatewayWhoseWordIsLateSendsNothing)
{
    hearOldWord(1s);
    EXPECT_TRUE(isSent());
    hearOldWord(1s);
    EXPECT_FALSE(isSent());
    answerPull();
    EXPECT_TRUE(isSent());
}

/// Guards against requests by a plan that was replaced long ago, while the newer one is still on its way.
TEST_F(WordAgeTest, AGatewayThatKnowsOfANewerPlanSendsNothingByTheOldOneAfterItsLimit)
{
    startFetchingPlan(2);
    for (int step = 0; step < 15; ++step) {
        advance(100ms);
        answerPull();
    }
    EXPECT_TRUE(isSent());
    for (int step = 0; step < 8; ++step) {
        advance(100ms);
        answerPull();
    }
    EXPECT_FALSE(isSent());
}

namespace {

/// Time that passes in 100 ms steps, with an answer to each pull, until a gateway that knows of a newer plan sends
/// nothing more.
class ReplacedPlanTest : public WordAgeTest, public testing::WithParamInterface<Duration> {
protected:
    ReplacedPlanTest()
        : WordAgeTest({.leaveLimit = GetParam(), .planLimit = GetParam()})
    {
    }
};

} // namespace

/// Guards against limits of one deployment in the program: operators set 2.0 to 3.0 s. A request by the old plan has
/// to be with its target within the limit, so the last one is sent some time before.
TEST_P(ReplacedPlanTest, TheOldPlanIsUsedForMostOfTheLimitAndNoLonger)
{
    constexpr Duration Step = 100ms;
    constexpr Duration LeastMargin = 300ms;
    startFetchingPlan(2);
    Duration used {};
    for (Duration passed {}; passed < GetParam() * 2; passed += Step) {
        advance(Step);
        answerPull();
        if (isSent())
            used = passed + Step;
    }
    EXPECT_LE(used, GetParam() - LeastMargin);
    EXPECT_GE(used, GetParam() / 2);
}

TEST_P(ReplacedPlanTest, LateWordIsUsedForLessThanTheLimitOfALeave)
{
    constexpr Duration Step = 100ms;
    constexpr Duration LeastMargin = 300ms;
    Duration used {};
    for (Duration passed {}; passed < GetParam() * 2; passed += Step) {
        hearOldWord(Step);
        if (isSent())
            used = passed + Step;
    }
    EXPECT_LE(used, GetParam() - LeastMargin);
    EXPECT_GE(used, 1s); // Two pulls may go unanswered.
}

INSTANTIATE_TEST_SUITE_P(
    OperatorsLimits, ReplacedPlanTest, testing::Values(Duration(2s), Duration(2500ms), Duration(3s)));

TEST_F(WordAgeTest, AGatewayThatIsCutOffServesOn)
{
    for (int second = 0; second < 6; ++second) {
        advance(1s);
        EXPECT_TRUE(isSent()) << second;
    }
}

/// Without a leader nothing is acknowledged, so nothing can be missed.
TEST_F(WordAgeTest, AGatewayServesOnWhileTheRegistryHasNoLeader)
{
    for (int step = 0; step < 60; ++step) {
        advance(100ms);
        answerPull(Duration::max());
        EXPECT_TRUE(isSent()) << step;
    }
}

} // namespace saltvane::gateway::test
