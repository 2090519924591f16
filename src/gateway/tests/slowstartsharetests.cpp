/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/slowstartshare.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace saltvane::gateway::test {

namespace {

struct ShareCase {
    uint32_t gateways = 0;
    double slowStartPerSecond = 0;
    double slack = 0;
};

class SlowStartShareTest : public testing::TestWithParam<ShareCase> {
protected:
    static constexpr uint64_t Targets = 500;
    static constexpr double Overage = 1.5;

    SlowStartShareTest()
    {
        for (uint32_t number = 1; number <= GetParam().gateways; ++number) {
            shares_.emplace_back(settings::SlowStartBound {.overage = Overage, .slack = GetParam().slack});
            shares_.back().setGateways(number, GetParam().gateways);
        }
    }
    static uint64_t hashOf(uint64_t target) { return target * 0x9e3779b97f4a7c15; }

    std::vector<SlowStartShare> shares_;
};

} // namespace

// Guards against floods of a target in its slow start by gateways that are all cut off from the registry.
TEST_P(SlowStartShareTest, AllGatewaysTogetherStayWithinTheBound)
{
    const double rate = GetParam().slowStartPerSecond;
    const double bound = rate * Overage + GetParam().slack;
    for (uint64_t target = 0; target < Targets; ++target) {
        // A burst of one and the rate, of the gateway that the registry names and of each that may be cut off.
        double most = 1 + SlowStartShare::namedGatewayRate(rate);
        for (const SlowStartShare& share : shares_) {
            const double own = share.unconfirmedRate(hashOf(target), rate);
            most += own > 0 ? 1 + own : 0;
        }
        EXPECT_LE(most, bound + 1e-9) << target;
    }
}

// Guards against gateways that are cut off and may use hardly any target.
TEST_P(SlowStartShareTest, EachTargetAndEachGatewayIsUsed)
{
    const double rate = GetParam().slowStartPerSecond;
    std::vector<double> ratesOfGateways(shares_.size());
    for (uint64_t target = 0; target < Targets; ++target) {
        double rates = 0;
        for (size_t gateway = 0; gateway < shares_.size(); ++gateway) {
            const double own = shares_[gateway].unconfirmedRate(hashOf(target), rate);
            rates += own;
            ratesOfGateways[gateway] += own;
        }
        EXPECT_GT(rates, 0) << target;
    }
    if (shares_.size() * 10 > Targets)
        return;
    for (const double own : ratesOfGateways)
        EXPECT_GT(own, 0);
}

INSTANTIATE_TEST_SUITE_P(Sizes, SlowStartShareTest,
    testing::Values(ShareCase {1, 14, 5}, ShareCase {2, 3.5, 5}, ShareCase {10, 14, 5}, ShareCase {10, 21, 5},
        ShareCase {10, 3.5, 5}, ShareCase {100, 3.2, 8}, ShareCase {984, 3.7, 10}, ShareCase {2000, 3.7, 10}),
    [](const auto& testCase) {
        return std::to_string(testCase.param.gateways) + "GatewaysCase" + std::to_string(testCase.index);
    });

TEST(SlowStartShareWithoutNumberTest, GatewayOfUnknownNumberTakesNoMoreThanOneOfManyWould)
{
    SlowStartShare share({.overage = 1.5, .slack = 5});
    share.setGateways(0, 9);
    size_t used = 0;
    for (uint64_t target = 0; target < 1000; ++target)
        used += share.unconfirmedRate(target * 0x9e3779b97f4a7c15, 14) > 0 ? 1 : 0;
    EXPECT_LE(used, 20U);
}

TEST(SlowStartShareOfNothingTest, NothingIsSentWhereTheBoundLeavesNothing)
{
    SlowStartShare share({.overage = 1, .slack = 0});
    share.setGateways(1, 1);
    EXPECT_EQ(share.unconfirmedRate(7, 2), 0);
}

} // namespace saltvane::gateway::test
