/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/ibundleholder.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace saltvane::control::test {

namespace {

constexpr Duration Step = 10ms;
const HostId Relay("relay1");
const HostId First("entry1");
const HostId Second("entry2");

LogPosition positionOf(uint64_t index) { return {.term = LogTerm {1}, .index = LogIndex {index}}; }

/// One holder that pulls from two sources, which the test plays.
class PullingHolder : public testing::Test {
protected:
    PullingHolder() { holder_->setPeers(std::vector {First, Second}, {}, now_); }

    /// Sources asked within this time.
    std::vector<HostId> run(Duration duration)
    {
        std::vector<HostId> asked;
        for (const Timestamp end = now_ + duration; now_ < end; now_ += Step) {
            holder_->tick(now_);
            for (const model::Outgoing& outgoing : holder_->takeOutgoing()) {
                if (const auto* pull = std::get_if<model::BundlePull>(&outgoing.message)) {
                    asked.push_back(outgoing.to);
                    lastPull_ = pull->pull;
                }
            }
        }
        return asked;
    }
    void push(uint64_t index)
    {
        handle(model::BundlePush {.position = positionOf(index), .version = {index}, .content = "c", .age = 0ms});
    }
    /// What the source that was asked last holds is current, by a proof of this age.
    void answer(const HostId& from, uint64_t index, Duration age)
    {
        handle(model::BundleCurrent {.position = positionOf(index), .age = age, .pull = lastPull_}, from);
    }
    void handle(model::Message message, const HostId& from = First)
    {
        holder_->handle({.from = from, .fromIncarnation = {1}, .message = std::move(message)}, now_);
    }

    Timestamp now_ {100s};
    uint64_t lastPull_ = 0;
    std::unique_ptr<IBundleHolder> holder_
        = makeBundleHolder({.self = Relay, .pullPeriod = 500ms, .staleAfter = 1s, .isSource = false});
};

} // namespace

TEST_F(PullingHolder, ASourceWhoseProofIsOldIsPassedOver)
{
    push(1);
    (void)run(Step);
    answer(First, 1, 100ms);
    ASSERT_EQ(run(400ms), std::vector {First});
    answer(First, 1, 1200ms); // Cut off from the others: it may miss what is in force.
    EXPECT_EQ(run(500ms), std::vector {Second});
}

TEST_F(PullingHolder, AStartingHostWaitsForAnotherWordThanAnOldProof)
{
    push(1);
    (void)run(Step);
    answer(First, 1, 1200ms);
    EXPECT_FALSE(holder_->isReady());
    (void)run(100ms);
    answer(Second, 1, 100ms);
    EXPECT_TRUE(holder_->isReady());
}

TEST_F(PullingHolder, ANewLinkAfterASilenceIsUsedAtOnce)
{
    push(1);
    (void)run(Step);
    answer(First, 1, 100ms);
    (void)run(2s); // Neither source answers any more.
    (void)run(400ms);
    holder_->noteLinkUp(Second, now_);
    EXPECT_EQ(run(2 * Step), std::vector {Second});
}

/// Guards against a plan that is never proven on a link whose answers take longer than the time between two pulls.
TEST_F(PullingHolder, AnAnswerThatComesAfterTheNextPullStillCounts)
{
    push(1);
    (void)run(Step);
    answer(First, 1, 100ms);
    ASSERT_EQ(run(500ms), std::vector {First});
    const uint64_t late = lastPull_;
    ASSERT_EQ(run(500ms), std::vector {Second});
    const Duration answered = holder_->answerAge(now_);
    const Duration proven = holder_->age(now_);
    handle(model::BundleCurrent {.position = positionOf(1), .age = 100ms, .pull = late});
    EXPECT_LT(holder_->answerAge(now_), answered);
    EXPECT_LT(holder_->age(now_), proven);
}

TEST_F(PullingHolder, AnswersWithoutAProofTellOnlyThatTheSourceIsHeard)
{
    push(1);
    (void)run(Step);
    answer(First, 1, 100ms);
    (void)run(2s);
    const Duration proven = holder_->provenAnswerAge(now_);
    answer(First, 1, Duration::max());
    answer(Second, 1, Duration::max());
    EXPECT_LE(holder_->answerAge(now_), 600ms);
    EXPECT_EQ(holder_->provenAnswerAge(now_), proven);
}

TEST_F(PullingHolder, APullWithoutAnAnswerIsFollowedByOneToAnotherSource)
{
    holder_ = makeBundleHolder(
        {.self = Relay, .pullPeriod = 500ms, .unansweredAfter = 200ms, .staleAfter = 1s, .isSource = false});
    holder_->setPeers(std::vector {First, Second}, {}, now_);
    push(1);
    (void)run(Step);
    answer(First, 1, 100ms);
    EXPECT_EQ(run(350ms), (std::vector {First, Second}));
}

} // namespace saltvane::control::test
