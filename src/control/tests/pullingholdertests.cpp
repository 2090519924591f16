/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/ibundlereplica.h"

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

/// A bundle replica that pulls from two sources simulated by the test.
class PullingReplica : public testing::Test {
protected:
    PullingReplica() { replica_->setPeers(std::vector {First, Second}, {}, now_); }

    /// Returns the sources to which pulls are sent within this time.
    std::vector<HostId> run(Duration duration)
    {
        std::vector<HostId> pulledFrom;
        for (const Timestamp end = now_ + duration; now_ < end; now_ += Step) {
            replica_->tick(now_);
            for (const model::OutgoingMessage& outgoing : replica_->drainOutgoing()) {
                if (const auto* pull = std::get_if<model::BundlePull>(&outgoing.message)) {
                    pulledFrom.push_back(outgoing.to);
                    lastPull_ = pull->pull;
                }
            }
        }
        return pulledFrom;
    }
    void push(uint64_t index)
    {
        handle(model::BundlePush {.position = positionOf(index), .version = {index}, .content = "c", .age = 0ms});
    }
    /// Answers the latest pull: the state at `index` is current, with a proof of this age.
    void answer(const HostId& from, uint64_t index, Duration age)
    {
        handle(model::BundleCurrent {.position = positionOf(index), .age = age, .pull = lastPull_}, from);
    }
    void handle(model::Message message, const HostId& from = First)
    {
        replica_->handle({.from = from, .fromIncarnation = {1}, .message = std::move(message)}, now_);
    }

    Timestamp now_ {100s};
    uint64_t lastPull_ = 0;
    std::unique_ptr<IBundleReplica> replica_
        = makeBundleReplica({.self = Relay, .pullInterval = 500ms, .maxProofAge = 1s, .isSource = false});
};

} // namespace

TEST_F(PullingReplica, SourceWithAnOldProofIsAvoided)
{
    push(1);
    (void)run(Step);
    answer(First, 1, 100ms);
    ASSERT_EQ(run(400ms), std::vector {First});
    answer(First, 1, 1200ms); // The source may be cut off and lack the state in force.
    EXPECT_EQ(run(500ms), std::vector {Second});
}

TEST_F(PullingReplica, StartingHostWaitsForARecentProof)
{
    push(1);
    (void)run(Step);
    answer(First, 1, 1200ms);
    EXPECT_FALSE(replica_->isReady());
    (void)run(100ms);
    answer(Second, 1, 100ms);
    EXPECT_TRUE(replica_->isReady());
}

TEST_F(PullingReplica, NewLinkAfterAnOutageIsUsedAtOnce)
{
    push(1);
    (void)run(Step);
    answer(First, 1, 100ms);
    (void)run(2s); // Neither source answers.
    (void)run(400ms);
    replica_->onLinkUp(Second, now_);
    EXPECT_EQ(run(2 * Step), std::vector {Second});
}

/// Guards against a state that is never confirmed on a link with a round trip longer than the pull interval.
TEST_F(PullingReplica, AnswerAfterTheNextPullStillCounts)
{
    push(1);
    (void)run(Step);
    answer(First, 1, 100ms);
    ASSERT_EQ(run(500ms), std::vector {First});
    const uint64_t firstPull = lastPull_;
    ASSERT_EQ(run(500ms), std::vector {Second});
    const Duration answered = replica_->answerAge(now_);
    const Duration proven = replica_->age(now_);
    handle(model::BundleCurrent {.position = positionOf(1), .age = 100ms, .pull = firstPull});
    EXPECT_LT(replica_->answerAge(now_), answered);
    EXPECT_LT(replica_->age(now_), proven);
}

TEST_F(PullingReplica, AnswersWithoutAProofUpdateOnlyTheAnswerAge)
{
    push(1);
    (void)run(Step);
    answer(First, 1, 100ms);
    (void)run(2s);
    const Duration proven = replica_->provenAnswerAge(now_);
    answer(First, 1, Duration::max());
    answer(Second, 1, Duration::max());
    EXPECT_LE(replica_->answerAge(now_), 600ms);
    EXPECT_EQ(replica_->provenAnswerAge(now_), proven);
}

TEST_F(PullingReplica, UnansweredPullIsFollowedByOneToAnotherSource)
{
    replica_ = makeBundleReplica(
        {.self = Relay, .pullInterval = 500ms, .answerTimeout = 200ms, .maxProofAge = 1s, .isSource = false});
    replica_->setPeers(std::vector {First, Second}, {}, now_);
    push(1);
    (void)run(Step);
    answer(First, 1, 100ms);
    EXPECT_EQ(run(350ms), (std::vector {First, Second}));
}

} // namespace saltvane::control::test
