/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "ownerstress.h"

#include <gtest/gtest.h>

namespace saltvane::requests {
namespace {

using model::Outcome;

constexpr int StepsPerRun = 4000;

TEST(OwnerStressTest, EveryRequestEndsOnceWithTheTrueOutcome)
{
    uint32_t answered = 0;
    uint32_t notRun = 0;
    uint32_t unknown = 0;
    model::Counters counters;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        OwnerStress stress(seed);
        stress.run(StepsPerRun);
        stress.finish();
        ASSERT_TRUE(stress.checker().findings().empty())
            << "seed " << seed << ": " << stress.checker().findings().front();
        answered += stress.checker().ends(Outcome::Answered);
        notRun += stress.checker().ends(Outcome::NotRun);
        unknown += stress.checker().ends(Outcome::Unknown);
        for (size_t i = 0; i < counters.values.size(); ++i)
            counters.values[i] += stress.counters().values[i];
    }
    // The runs cover all outcomes, retries and kinds of invalid frames.
    EXPECT_GT(answered, 1000U);
    EXPECT_GT(notRun, 1000U);
    EXPECT_GT(unknown, 100U);
    EXPECT_GT(counters.value(model::Counter::Retries), 100U);
    EXPECT_GT(counters.value(model::Counter::LateFrames), 100U);
    EXPECT_GT(counters.value(model::Counter::StaleMessages), 100U);
    EXPECT_GT(counters.value(model::Counter::BrokenBodies), 10U);
}

/// Verifies that the checker finds each kind of fault.
class OwnerCheckerTest : public ::testing::Test {
protected:
    OwnerCheckerTest()
    {
        checker_.addRequest({HostId("entry"), {1}, {1}}, 0);
        checker_.check({TargetStart {.dispatch = {1}, .target = TargetId("t"), .path = "1", .bodyLength = 0}});
    }
    static Action endMessage(Outcome outcome)
    {
        return model::OutgoingMessage {
            .to = HostId("entry"), .message = model::ForwardEnd {.correlation = {1}, .outcome = outcome}};
    }
    bool hasFinding(std::string_view text) const
    {
        for (const std::string& finding : checker_.findings()) {
            if (finding.find(text) != std::string::npos)
                return true;
        }
        return false;
    }
    OwnerChecker checker_;
};

TEST_F(OwnerCheckerTest, FindsASecondEnd)
{
    checker_.check({TargetCancel {.dispatch = {1}}, endMessage(Outcome::Unknown)});
    EXPECT_TRUE(checker_.findings().empty());
    checker_.check({endMessage(Outcome::Unknown)});
    EXPECT_TRUE(hasFinding("after the end"));
}

TEST_F(OwnerCheckerTest, FindsAMissingEnd)
{
    checker_.checkFinished();
    EXPECT_TRUE(hasFinding("has no end"));
    EXPECT_TRUE(hasFinding("still active"));
}

TEST_F(OwnerCheckerTest, FindsAFalseNotRun)
{
    checker_.check({TargetCancel {.dispatch = {1}}, endMessage(Outcome::NotRun)});
    EXPECT_TRUE(hasFinding("reported as not run"));
}

TEST_F(OwnerCheckerTest, FindsAShortResponse)
{
    checker_.dispatches().at(1).size = 5;
    checker_.setState(1, OwnerChecker::DispatchState::Answered);
    checker_.check({endMessage(Outcome::Answered)});
    EXPECT_TRUE(hasFinding("incomplete response"));
}

TEST_F(OwnerCheckerTest, FindsASecondRun)
{
    checker_.setState(1, OwnerChecker::DispatchState::Failed);
    checker_.check({TargetStart {.dispatch = {2}, .target = TargetId("u"), .path = "1"}});
    EXPECT_TRUE(hasFinding("run again"));
}

TEST_F(OwnerCheckerTest, FindsMixedResponses)
{
    checker_.check(
        {model::OutgoingMessage {.to = HostId("entry"), .message = model::ForwardResponseHead {.correlation = {1}}},
            model::OutgoingMessage {.to = HostId("entry"),
                .message = model::ForwardBody {.correlation = {1}, .bytes = bodyBytes(2, 0, 3)}}});
    EXPECT_TRUE(hasFinding("wrong bytes"));
}

TEST(FakeTargetPoolTest, FindsASlotReleasedTwice)
{
    FakeTargetPool pool;
    pool.add("t", 1);
    const auto slot = pool.acquire(ServiceName("quotes"), {}, {});
    pool.release(*slot, steering::DispatchResult::Answered, {}, {});
    pool.release(*slot, steering::DispatchResult::Answered, {}, {});
    EXPECT_EQ(pool.misuses().size(), 1U);
}

} // namespace
} // namespace saltvane::requests
