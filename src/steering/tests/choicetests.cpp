/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/tests/steeringfixture.h"

#include <array>

namespace saltvane::steering {
namespace {

class ChoiceTest : public SteeringFixture {
protected:
    /// Sends requests that are answered within their row, since diversions are limited to a fraction of the requests.
    void offerRequests(size_t requests)
    {
        for (size_t request = 0; request < requests; ++request) {
            now_ += 1ms;
            ASSERT_TRUE(choose().isOk());
        }
    }
};

TEST_F(ChoiceTest, CountsFollowSharesWithinFewRequests)
{
    start();
    demands_ = {240, 20, 20};
    steering_ = makeSteering({.seed = 3});
    steering_->install(deploy(smallBundle()), now_);
    sendUpdate();
    std::array<double, ZoneCount> counts {};
    const std::array names {"a1", "a2", "b1", "b2", "c1", "c2"};
    for (int request = 1; request <= 5000; ++request) {
        const auto choice = choose();
        ASSERT_TRUE(choice.isOk());
        ++counts[choice.value().zone.value];
        for (size_t zone = 0; zone < ZoneCount && request % 50 == 0; ++zone)
            ASSERT_NEAR(counts[zone], request * share(RegionA, names[zone]), 3.5) << names[zone] << " at " << request;
    }
}

TEST_F(ChoiceTest, InstancesWithEqualInputChooseEqualZones)
{
    start();
    auto other = makeSteering({.ownRegion = RegionA, .seed = 7});
    other->install(deploy(smallBundle()), now_);
    for (int request = 0; request < 200; ++request) {
        const ChoiceQuery query {.service = Pricing, .clientRegion = RegionB};
        EXPECT_EQ(
            steering_->choose(query, credits_, now_).value().zone, other->choose(query, credits_, now_).value().zone);
    }
}

TEST_F(ChoiceTest, BeforeABundleTheHostIsNotReady)
{
    steering_ = makeSteering({});
    const auto choice = choose();
    ASSERT_FALSE(choice.isOk());
    EXPECT_EQ(choice.error().reason, model::Reason::NotReady);
}

TEST_F(ChoiceTest, AServiceOutsideTheBundleIsUnknown)
{
    start();
    const auto choice = steering_->choose({.service = {9}, .clientRegion = RegionA}, credits_, now_);
    ASSERT_FALSE(choice.isOk());
    EXPECT_EQ(choice.error().reason, model::Reason::UnknownService);
}

TEST_F(ChoiceTest, WithoutCreditTheNearestOtherZoneIsChosenAndCountedAsDiversion)
{
    start();
    offerRequests(1000);
    credits_.removeCredit(A1);
    int diverted = 0;
    for (int request = 0; request < 20; ++request) {
        const auto choice = choose();
        ASSERT_TRUE(choice.isOk());
        EXPECT_EQ(choice.value().zone, A2);
        diverted += choice.value().isDiverted ? 1 : 0;
    }
    EXPECT_NEAR(diverted, 10, 1);
    EXPECT_EQ(counters_.value(model::Counter::Diversions), static_cast<uint64_t>(diverted));
}

TEST_F(ChoiceTest, ZonesOutsideTheRowTakeDiversionsWhenTheRowsZonesAreFull)
{
    start();
    offerRequests(1000);
    credits_.removeCredit(A1);
    credits_.removeCredit(A2);
    const auto choice = choose();
    ASSERT_TRUE(choice.isOk());
    EXPECT_TRUE(choice.value().isDiverted);
    EXPECT_GE(choice.value().zone.value, B1.value);
}

TEST_F(ChoiceTest, DiversionsStopAtTheCapWithItsReasonAndARetryAfter)
{
    start();
    offerRequests(1000);
    credits_.removeCredit(A1);
    credits_.removeCredit(A2);
    int answered = 0;
    auto choice = choose();
    for (; choice.isOk(); choice = choose())
        ++answered;
    EXPECT_LE(answered, 110);
    EXPECT_GE(answered, 80);
    EXPECT_EQ(choice.error().reason, model::Reason::ShiftCapReached);
    EXPECT_GT(choice.error().retryAfter, Duration::zero());
    EXPECT_LE(choice.error().retryAfter, 10s);
}

TEST_F(ChoiceTest, WithoutAnyCreditTheRefusalIsNoRoom)
{
    start();
    for (uint32_t zone = 0; zone < ZoneCount; ++zone)
        credits_.removeCredit({zone});
    const auto choice = choose();
    ASSERT_FALSE(choice.isOk());
    EXPECT_EQ(choice.error().reason, model::Reason::NoRoom);
    EXPECT_GT(choice.error().retryAfter, Duration::zero());
}

TEST_F(ChoiceTest, WithEveryZoneClosedTheRefusalIsZoneClosed)
{
    auto bundle = smallBundle();
    for (const char* zone : {"a1", "a2", "b1", "b2", "c1", "c2"})
        setOpen(bundle, zone, 0);
    start(bundle);
    const auto choice = choose();
    ASSERT_FALSE(choice.isOk());
    EXPECT_EQ(choice.error().reason, model::Reason::ZoneClosed);
}

TEST_F(ChoiceTest, ARetryThatLeavesTheZoneCountsAsDiversion)
{
    start();
    offerRequests(1000);
    const std::array excluded {A1};
    const ChoiceQuery query {.service = Pricing, .clientRegion = RegionA, .excludedZones = excluded, .isRetry = true};
    const auto choice = steering_->choose(query, credits_, now_);
    ASSERT_TRUE(choice.isOk());
    EXPECT_EQ(choice.value().zone, A2);
    EXPECT_TRUE(choice.value().isDiverted);
}

TEST_F(ChoiceTest, RepeatedQueriesNeitherLeaveTheRowsZoneNorCountAsNewRequests)
{
    start();
    offerRequests(1000);
    credits_.removeCredit(A1);
    int answered = 0;
    for (int request = 0; request < 1000; ++request) {
        now_ += 1ms;
        auto choice = choose();
        for (int repetition = 0; repetition < 20 && !choice.isOk(); ++repetition) {
            const ChoiceQuery query {.service = Pricing, .clientRegion = RegionA, .rowZone = choice.error().rowZone};
            choice = steering_->choose(query, credits_, now_);
        }
        answered += choice.isOk() ? 1 : 0;
    }
    EXPECT_LE(answered, 702)
        << "500 in the row's zone and diversions of at most a tenth of the 2000 requests in the window";
    EXPECT_GE(answered, 600);
    credits_.restoreCredit(A1);
    const ChoiceQuery query {.service = Pricing, .clientRegion = RegionA, .rowZone = A1};
    EXPECT_EQ(steering_->choose(query, credits_, now_).value().zone, A1);
}

TEST_F(ChoiceTest, ARetryGoesToTheRowsZoneFirst)
{
    start();
    offerRequests(1000);
    for (const auto zone : {A1, A2}) {
        const ChoiceQuery query {.service = Pricing, .clientRegion = RegionA, .isRetry = true, .rowZone = zone};
        const auto choice = steering_->choose(query, credits_, now_);
        ASSERT_TRUE(choice.isOk());
        EXPECT_EQ(choice.value().zone, zone);
        EXPECT_FALSE(choice.value().isDiverted);
    }
}

TEST_F(ChoiceTest, AClosedZoneIsNeverADiversion)
{
    auto bundle = smallBundle();
    setOpen(bundle, "a2", 0);
    start(bundle);
    offerRequests(1000);
    credits_.removeCredit(A1);
    for (int request = 0; request < 20; ++request) {
        const auto choice = choose();
        ASSERT_TRUE(choice.isOk());
        EXPECT_NE(choice.value().zone, A2);
    }
}

TEST_F(ChoiceTest, NoRequestIsDivertedBeforeEnoughWereOffered)
{
    start();
    credits_.removeCredit(A1);
    credits_.removeCredit(A2);
    const auto choice = choose();
    ASSERT_FALSE(choice.isOk());
    EXPECT_EQ(choice.error().reason, model::Reason::ShiftCapReached);
}

} // namespace
} // namespace saltvane::steering
