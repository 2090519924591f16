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
    WordAgeTest()
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
