/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetreachability.h"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace saltvane::gateway::test {

namespace {

using Failure = TargetReachability::Failure;

class TargetReachabilityTest : public testing::Test {
protected:
    TargetReachabilityTest()
    {
        for (size_t i = 0; i < targets_.size(); ++i) {
            targets_[i].record.target = TargetId("t-" + std::to_string(i));
            targets_[i].zone = &zones_[i % zones_.size()];
        }
    }
    bool fail(size_t target, Failure failure = Failure::Connect)
    {
        now_ += 10ms;
        return reachability_.recordFailure(targets_.at(target), failure, now_ - 5ms, now_);
    }

    std::array<TargetZone, 2> zones_ {
        TargetZone {.name = ZoneName("a"), .region = {}}, {.name = ZoneName("b"), .region = {}}};
    std::array<GatewayTarget, 14> targets_;
    TargetReachability reachability_;
    Timestamp now_ {100s};
};

} // namespace

// Guards against gateways that take the failure of every target for the targets' own.
TEST_F(TargetReachabilityTest, ThreeTargetsInTwoZonesShowThatNoneIsReachable)
{
    EXPECT_FALSE(fail(0));
    EXPECT_FALSE(fail(1));
    EXPECT_FALSE(fail(1)) << "one target counts once";
    EXPECT_TRUE(fail(2));
    EXPECT_FALSE(reachability_.isReachable());
}

// Guards against gateways that doubt their own connections when one zone fails.
TEST_F(TargetReachabilityTest, TargetsOfOneZoneCountLess)
{
    for (size_t i = 0; i < TargetReachability::MinTargetsOfOneZone - 1; ++i)
        EXPECT_FALSE(fail(i * 2));
    EXPECT_TRUE(fail(12));
}

// Guards against gateways that doubt their own connections while some targets answer.
TEST_F(TargetReachabilityTest, AnAnswerRefutesFailuresBeforeIt)
{
    EXPECT_FALSE(fail(0, Failure::Response));
    EXPECT_FALSE(fail(1, Failure::Response));
    EXPECT_FALSE(reachability_.recordAnswer(false, now_));
    EXPECT_FALSE(fail(2, Failure::Response));
    EXPECT_EQ(reachability_.failedTargets(), 1U);
    // Started before the answer, so it shows nothing that the answer does not refute.
    EXPECT_FALSE(reachability_.recordFailure(targets_[3], Failure::Response, now_ - 1s, now_));
    EXPECT_EQ(reachability_.failedTargets(), 1U);
}

// Guards against gateways whose open connections work while new ones are refused, which are blind to that.
TEST_F(TargetReachabilityTest, AnswersOnOldConnectionsDoNotShowThatNewOnesWork)
{
    EXPECT_FALSE(fail(0));
    EXPECT_FALSE(reachability_.recordAnswer(false, now_));
    EXPECT_FALSE(fail(1));
    EXPECT_FALSE(reachability_.recordAnswer(false, now_));
    EXPECT_TRUE(fail(2));
    EXPECT_FALSE(reachability_.recordAnswer(false, now_));
    EXPECT_FALSE(reachability_.isReachable());
    EXPECT_TRUE(reachability_.recordAnswer(true, now_));
    EXPECT_TRUE(reachability_.isReachable());
}

// Guards against failures that add up over hours on a gateway that opens few connections.
TEST_F(TargetReachabilityTest, FailuresFarApartAreUnrelated)
{
    for (size_t target = 0; target < TargetReachability::MinTargetsOfOneZone; ++target) {
        EXPECT_FALSE(fail(target));
        now_ += TargetReachability::MaxFailureAge / 2;
    }
}

// Guards against evidence from targets that the registry does not consider alive.
TEST_F(TargetReachabilityTest, TargetsThatLeaveOrAreUnresponsiveDoNotCount)
{
    targets_[0].record.isLeaving = true;
    targets_[1].isUnresponsive = true;
    EXPECT_FALSE(fail(0));
    EXPECT_FALSE(fail(1));
    EXPECT_EQ(reachability_.failedTargets(), 0U);
}

} // namespace saltvane::gateway::test
