/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/tests/movementrecorder.h"
#include "steering/tests/steeringfixture.h"

#include <numeric>
#include <random>

namespace saltvane::steering {
namespace {

constexpr double Tolerance = 1e-9;

class ShiftCapTest : public SteeringFixture {
protected:
    /// Runs ticks with random requests from all regions and records rows and diversions.
    void serve(Duration length, std::mt19937_64& random)
    {
        for (const auto end = now_ + length; now_ < end;) {
            tick();
            recorder_.recordRows(steering_->rows(), now_);
            std::poisson_distribution<int> arrivals(4);
            for (int remaining = arrivals(random); remaining > 0; --remaining) {
                const auto choice = choose({static_cast<uint32_t>(random() % 3)});
                recorder_.recordRequest(choice.isOk() && choice.value().isDiverted, now_);
            }
        }
    }

    void beginServing(model::Bundle bundle = smallBundle())
    {
        start(std::move(bundle));
        ASSERT_TRUE(choose().isOk());
        recorder_.recordRows(steering_->rows(), now_);
    }

    void install(model::Bundle bundle) { steering_->install(deploy(std::move(bundle)), now_); }

    model::Bundle bundleWithDrain(const char* zone, uint64_t version) const
    {
        auto bundle = smallBundle(version);
        setOpen(bundle, zone, 0);
        return bundle;
    }

    double sumOfRow(RegionIndex region) const
    {
        const auto rows = steering_->rows();
        const auto& shares = rows[region.value].shares;
        return std::accumulate(shares.begin(), shares.end(), 0.0);
    }

    MovementRecorder recorder_;
    std::mt19937_64 random_ {11};
};

TEST_F(ShiftCapTest, TheRecorderDetectsARowThatMovesTooFast)
{
    // Checks that the recorder can fail: without the cap the same drain moves too much.
    auto uncapped = smallBundle();
    uncapped.services[0].shiftCap = {.share = 1, .window = 1s};
    beginServing(uncapped);
    auto drained = bundleWithDrain("a1", 2);
    drained.services[0].shiftCap = {.share = 1, .window = 1s};
    install(drained);
    serve(15s, random_);
    EXPECT_GT(recorder_.maxMovement(10s), 0.3);
}

TEST_F(ShiftCapTest, PlannedDrainKeepsTheCapInEveryWindowAndUsesIt)
{
    beginServing();
    install(bundleWithDrain("a1", 2));
    const auto startedAt = now_;
    while (share(RegionA, "a1") > 0 && now_ < startedAt + 200s)
        serve(100ms, random_);
    const double lasted = toSeconds(now_ - startedAt);
    EXPECT_LE(recorder_.maxMovement(10s), 0.1 + Tolerance);
    EXPECT_GE(0.5 / lasted * 10, 0.9 * 0.1) << "half of the row should move at a rate of at least 0.9 of the cap";
    EXPECT_EQ(share(RegionA, "a1"), 0);
}

TEST_F(ShiftCapTest, ANewBundleAloneDivertsNoRequest)
{
    beginServing();
    install(bundleWithDrain("a1", 2));
    serve(60s, random_);
    EXPECT_EQ(counters_.value(model::Counter::Diversions), 0u);
}

TEST_F(ShiftCapTest, PlannedMovementHasAConstantRate)
{
    beginServing();
    install(bundleWithDrain("a1", 2));
    double last = share(RegionA, "a1");
    for (int step = 0; step < 40; ++step) {
        runFor(500ms);
        const double moved = last - share(RegionA, "a1");
        EXPECT_NEAR(moved, 0.0046, 0.0015);
        last -= moved;
    }
}

TEST_F(ShiftCapTest, ARollbackDuringAShiftGrantsNoSecondAllowance)
{
    beginServing();
    install(bundleWithDrain("a1", 2));
    serve(8s, random_);
    install(smallBundle(3));
    serve(3s, random_);
    install(bundleWithDrain("b1", 4));
    serve(30s, random_);
    EXPECT_LE(recorder_.maxMovement(10s), 0.1 + Tolerance);
}

TEST_F(ShiftCapTest, ASmallerCapCountsWhatMovedBefore)
{
    beginServing();
    install(bundleWithDrain("a1", 2));
    serve(9s, random_);
    auto slower = bundleWithDrain("a1", 3);
    slower.services[0].shiftCap = {.share = 0.05, .window = 20s};
    install(slower);
    const double before = share(RegionA, "a1");
    serve(9s, random_);
    EXPECT_EQ(share(RegionA, "a1"), before) << "the movement of the last 20 s exceeds the new cap";
    serve(30s, random_);
    EXPECT_LT(share(RegionA, "a1"), before);
}

TEST_F(ShiftCapTest, ARemovedAndRestoredServiceKeepsItsHistory)
{
    beginServing();
    install(bundleWithDrain("a1", 2));
    serve(9s, random_);
    const auto before = steering_->rows();
    auto without = smallBundle(3);
    without.services[0].name = ServiceName("other");
    install(without);
    install(bundleWithDrain("a1", 4));
    EXPECT_EQ(steering_->rows(), before);
    recorder_.recordRows(steering_->rows(), now_);
    serve(20s, random_);
    EXPECT_LE(recorder_.maxMovement(10s), 0.1 + Tolerance);
}

TEST_F(ShiftCapTest, ShareOfARemovedZoneIsUnassignedUntilItHasMoved)
{
    beginServing();
    auto bundle = smallBundle(2);
    std::erase_if(bundle.zones, [](const auto& zone) { return zone.name == ZoneName("a1"); });
    std::erase_if(bundle.services[0].zones, [](const auto& zone) { return zone.zone == ZoneName("a1"); });
    install(bundle);
    rooms_.assign(ZoneCount - 1, 100);
    sendUpdate();
    recorder_.recordRows(steering_->rows(), now_);
    EXPECT_NEAR(sumOfRow(RegionA), 0.5, 0.01);
    recorder_ = {};
    recorder_.recordRows(steering_->rows(), now_);
    serve(70s, random_);
    EXPECT_LE(recorder_.maxMovement(10s), 0.1 + Tolerance);
    EXPECT_NEAR(sumOfRow(RegionA), 1, 1e-6);
}

TEST_F(ShiftCapTest, ZoneLossObeysTheShiftCapWithoutAFailoverCap)
{
    beginServing();
    serve(12s, random_);
    rooms_[A1.value] = 0;
    credits_.removeCredit(A1);
    sendUpdate();
    serve(70s, random_);
    EXPECT_LE(recorder_.maxMovement(10s), 0.1 + Tolerance);
    EXPECT_EQ(share(RegionA, "a1"), 0);
}

TEST_F(ShiftCapTest, ZoneLossMovesAtOnceWithinTheFailoverCap)
{
    auto bundle = smallBundle();
    bundle.services[0].failoverCap = model::ShiftCap {.share = 0.6, .window = 10s};
    beginServing(bundle);
    serve(12s, random_);
    rooms_[A1.value] = 0;
    credits_.removeCredit(A1);
    sendUpdate();
    EXPECT_EQ(share(RegionA, "a1"), 0);
    serve(20s, random_);
    EXPECT_LE(recorder_.maxMovement(10s), 0.6 + Tolerance);
}

TEST_F(ShiftCapTest, AFailoverLeavesNothingForAPlannedShift)
{
    auto bundle = smallBundle();
    bundle.services[0].failoverCap = model::ShiftCap {.share = 0.6, .window = 10s};
    beginServing(bundle);
    serve(12s, random_);
    rooms_[A1.value] = 0;
    sendUpdate();
    auto drained = bundleWithDrain("b1", 2);
    drained.services[0].failoverCap = bundle.services[0].failoverCap;
    install(drained);
    const double before = share(RegionB, "b1");
    serve(9s, random_);
    EXPECT_EQ(share(RegionB, "b1"), before);
    serve(10s, random_);
    EXPECT_LT(share(RegionB, "b1"), before);
}

TEST_F(ShiftCapTest, FrozenRowsMoveOnlyOutOfFailedZones)
{
    beginServing();
    install(bundleWithDrain("b1", 2));
    serve(2s, random_);
    steering_->setFrozen(true, now_);
    const double before = share(RegionB, "b1");
    serve(5s, random_);
    EXPECT_EQ(share(RegionB, "b1"), before);
    rooms_[A1.value] = 0;
    sendUpdate();
    serve(10s, random_);
    EXPECT_LT(share(RegionA, "a1"), 0.45);
    steering_->setFrozen(false, now_);
    serve(120s, random_);
    EXPECT_EQ(share(RegionB, "b1"), 0);
    EXPECT_LE(recorder_.maxMovement(10s), 0.1 + Tolerance);
}

TEST_F(ShiftCapTest, ALateTickDoesNotCatchUpAtOnce)
{
    beginServing();
    install(bundleWithDrain("a1", 2));
    runFor(1s);
    now_ += 60s;
    const double before = share(RegionA, "a1");
    steering_->tick(now_);
    EXPECT_GE(share(RegionA, "a1"), before - 0.0101);
}

TEST_F(ShiftCapTest, BeforeTheFirstRequestRowsMoveAtOnce)
{
    start();
    install(bundleWithDrain("a1", 2));
    EXPECT_EQ(share(RegionA, "a1"), 0);
}

TEST_F(ShiftCapTest, RowsOfAServiceSteeredElsewhereMoveWithinTheCap)
{
    start();
    const double before = share(RegionA, "a1");
    ASSERT_GT(before, 0.2);
    steering_->markServedElsewhere(Pricing, now_);
    EXPECT_FALSE(steering_->servedRows().empty());
    install(bundleWithDrain("a1", 2));
    EXPECT_GE(share(RegionA, "a1"), before - 0.0105);
}

TEST_F(ShiftCapTest, AdoptedRowsMoveWithinACapThatCountsAsSpent)
{
    start(bundleWithDrain("a1", 2));
    auto rows = steering_->rows();
    rows[0].zones = {ZoneName("a1"), ZoneName("a2")};
    rows[0].shares = {0.4, 0.6};
    steering_->adoptRows(rows, now_);
    recorder_.recordRows(steering_->rows(), now_);
    EXPECT_NEAR(share(RegionA, "a1"), 0.4, 0.001);
    serve(1s, random_);
    EXPECT_GE(share(RegionA, "a1"), 0.4 - 0.0105) << "the peers may have used the whole cap already";
    serve(60s, random_);
    EXPECT_EQ(share(RegionA, "a1"), 0);
    EXPECT_LE(recorder_.maxMovement(10s), 0.1 + Tolerance);
}

TEST_F(ShiftCapTest, LookUpTtlIsShorterWhileTheServiceShifts)
{
    beginServing();
    EXPECT_EQ(steering_->entryTtl(Pricing), 30s);
    EXPECT_EQ(steering_->shiftProgress(Pricing), 1);
    install(bundleWithDrain("a1", 2));
    EXPECT_EQ(steering_->entryTtl(Pricing), 2500ms);
    EXPECT_LT(steering_->shiftProgress(Pricing), 0.01);
    serve(27s, random_);
    EXPECT_NEAR(steering_->shiftProgress(Pricing), 0.5, 0.05);
    EXPECT_EQ(steering_->entryZones(Pricing, RegionA).back(), A1) << "new clients start with open zones";
    serve(40s, random_);
    EXPECT_EQ(steering_->entryTtl(Pricing), 30s);
    EXPECT_EQ(steering_->entryZones(Pricing, RegionA), std::vector {A2});
}

/// Randomized by seed: drains, rollbacks, zone losses and recoveries, lost and restored credits, freezes and late
/// ticks.
class ShiftCapRandomizedTest : public ShiftCapTest, public ::testing::WithParamInterface<uint64_t> {
protected:
    void applyRandomEvent(std::mt19937_64& random)
    {
        const auto zone = static_cast<uint32_t>(random() % ZoneCount);
        const std::array names {"a1", "a2", "b1", "b2", "c1", "c2"};
        switch (random() % 7) {
        case 0:
            installWithCap(bundleWithDrain(names[zone], ++version_));
            return;
        case 1:
            installWithCap(smallBundle(++version_));
            return;
        case 2:
            rooms_[zone] = 0;
            return;
        case 3:
            rooms_[zone] = 100;
            return;
        case 4:
            credits_.removeCredit({zone});
            return;
        case 5:
            credits_.restoreCredit({zone});
            return;
        default:
            steering_->setFrozen(random() % 2 == 0, now_);
        }
    }

    void installWithCap(model::Bundle bundle)
    {
        bundle.services[0].failoverCap = failoverCap_;
        install(std::move(bundle));
    }

    uint64_t version_ = 1;
    std::optional<model::ShiftCap> failoverCap_;
};

TEST_P(ShiftCapRandomizedTest, NoWindowEverExceedsTheCap)
{
    std::mt19937_64 random(GetParam());
    beginServing();
    for (int step = 0; step < 40; ++step) {
        applyRandomEvent(random);
        sendUpdate();
        recorder_.recordRows(steering_->rows(), now_);
        serve(std::chrono::milliseconds(random() % 3000), random);
    }
    EXPECT_LE(recorder_.maxMovement(10s), 0.1 + Tolerance);
    EXPECT_GT(recorder_.maxMovement(10s), 0.05) << "too little moved to test the cap";
}

TEST_P(ShiftCapRandomizedTest, NoWindowEverExceedsTheFailoverCap)
{
    failoverCap_ = model::ShiftCap {.share = 0.4, .window = 5s};
    std::mt19937_64 random(GetParam());
    auto bundle = smallBundle();
    bundle.services[0].failoverCap = failoverCap_;
    beginServing(bundle);
    for (int step = 0; step < 40; ++step) {
        applyRandomEvent(random);
        sendUpdate();
        recorder_.recordRows(steering_->rows(), now_);
        serve(std::chrono::milliseconds(random() % 3000), random);
    }
    EXPECT_LE(recorder_.maxMovement(5s), 0.4 + Tolerance);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShiftCapRandomizedTest, ::testing::Range<uint64_t>(1, 41));

} // namespace
} // namespace saltvane::steering
