/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/itargetpool.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace saltvane::steering {
namespace {

const ServiceName Service("desk");

class TargetPoolTest : public ::testing::Test {
protected:
    static PoolTarget coldTarget(const char* id, uint32_t slots = 9, uint64_t incarnation = 1)
    {
        return {.target = TargetId(id), .incarnation = {incarnation}, .service = Service, .slots = slots};
    }

    static PoolTarget warmTarget(const char* id, uint32_t slots = 9, uint64_t incarnation = 1)
    {
        auto result = coldTarget(id, slots, incarnation);
        result.concurrencyLimit = slots;
        return result;
    }

    void makePool(TargetPoolOptions options = {})
    {
        options.counters = &counters_;
        pool_ = makeTargetPool(options);
    }

    std::optional<ITargetPool::Slot> acquire(std::vector<TargetId> excluded = {})
    {
        return pool_->acquire(Service, excluded, now_);
    }

    void finish(const ITargetPool::Slot& slot, DispatchResult result, Duration latency = 10ms)
    {
        now_ += 1ms;
        pool_->release(slot, result, latency, now_);
    }

    uint32_t acquireAll()
    {
        uint32_t count = 0;
        while (acquire())
            ++count;
        return count;
    }

    void failUntilEjected(const char* id)
    {
        for (int failure = 0; failure < 5; ++failure) {
            const auto slot = acquire();
            ASSERT_TRUE(slot);
            ASSERT_EQ(slot->target, TargetId(id));
            finish(*slot, DispatchResult::Failed);
        }
    }

    Timestamp now_ {100s};
    model::Counters counters_;
    std::unique_ptr<ITargetPool> pool_ = makeTargetPool({});
};

TEST_F(TargetPoolTest, SlotsInUseAreCountedExactly)
{
    pool_->upsert(warmTarget("t1", 3), now_);
    pool_->upsert(warmTarget("t2", 3), now_);
    EXPECT_EQ(acquireAll(), 6u);
    EXPECT_EQ(pool_->room(Service).inFlight, 6u);
}

TEST_F(TargetPoolTest, AnUnknownServiceHasNoSlot)
{
    EXPECT_FALSE(pool_->acquire(ServiceName("other"), {}, now_));
    EXPECT_EQ(pool_->room(ServiceName("other")).room, 0u);
}

TEST_F(TargetPoolTest, ColdTargetStartsWithTheInitialLimitAndGrowsByAnswersInTime)
{
    pool_->upsert(coldTarget("t1"), now_);
    EXPECT_EQ(pool_->room(Service).room, 1u);
    for (int answer = 0; answer < 60; ++answer) {
        const auto slot = acquire();
        const auto second = acquire();
        ASSERT_TRUE(slot);
        finish(*slot, DispatchResult::Answered);
        if (second)
            finish(*second, DispatchResult::Answered);
    }
    EXPECT_GT(pool_->find(TargetId("t1"))->concurrencyLimit, 2u);
    EXPECT_LT(pool_->find(TargetId("t1"))->concurrencyLimit, 9u) << "an unused limit does not grow";
}

TEST_F(TargetPoolTest, LateAnswersGrowTheLimitMoreSlowly)
{
    pool_->upsert(warmTarget("warm"), now_);
    pool_->upsert(coldTarget("cold"), now_);
    for (int round = 0; round < 20; ++round) {
        const auto fromWarm = acquire({TargetId("cold")});
        finish(*fromWarm, DispatchResult::Answered, 10ms);
        const auto fromCold = acquire({TargetId("warm")});
        finish(*fromCold, DispatchResult::Answered, 100ms);
    }
    EXPECT_LE(pool_->find(TargetId("cold"))->concurrencyLimit, 2u);
}

TEST_F(TargetPoolTest, SheddingShrinksTheLimit)
{
    pool_->upsert(warmTarget("t1"), now_);
    const auto slot = acquire();
    finish(*slot, DispatchResult::Shed);
    EXPECT_LT(pool_->find(TargetId("t1"))->concurrencyLimit, 9u);
    EXPECT_GE(pool_->find(TargetId("t1"))->concurrencyLimit, 1u);
}

TEST_F(TargetPoolTest, TargetWithTheLeastLoadAndLatencyIsSelected)
{
    pool_->upsert(warmTarget("fast"), now_);
    pool_->upsert(warmTarget("slow"), now_);
    for (int round = 0; round < 10; ++round) {
        finish(*acquire({TargetId("slow")}), DispatchResult::Answered, 5ms);
        finish(*acquire({TargetId("fast")}), DispatchResult::Answered, 20ms);
    }
    std::map<TargetId, int> taken;
    for (int request = 0; request < 5; ++request)
        ++taken[acquire()->target];
    EXPECT_EQ(taken[TargetId("fast")], 4);
    EXPECT_EQ(taken[TargetId("slow")], 1);
}

TEST_F(TargetPoolTest, TiesDifferBySeedAndRepeatForOneSeed)
{
    const auto sequence = [this](uint64_t seed) {
        makePool({.seed = seed});
        for (const char* id : {"t1", "t2", "t3", "t4"})
            pool_->upsert(warmTarget(id), now_);
        std::string result;
        for (int request = 0; request < 12; ++request)
            result += acquire()->target.value();
        return result;
    };
    EXPECT_EQ(sequence(1), sequence(1));
    EXPECT_NE(sequence(1), sequence(2));
}

TEST_F(TargetPoolTest, AReportOfAFullTargetLeavesOneSlotUsable)
{
    auto misreporting = warmTarget("t1");
    misreporting.reportedBusyElsewhere = 9;
    pool_->upsert(misreporting, now_);
    EXPECT_EQ(acquireAll(), 1u);
}

TEST_F(TargetPoolTest, AReportOfAFullTargetIsTrustedAfterAShed)
{
    auto full = warmTarget("t1");
    full.reportedBusyElsewhere = 9;
    pool_->upsert(full, now_);
    finish(*acquire(), DispatchResult::Shed);
    EXPECT_EQ(acquireAll(), 0u);
    now_ += 2s;
    EXPECT_EQ(acquireAll(), 1u);
}

TEST_F(TargetPoolTest, AReportOfAnIdleTargetAddsNoCapacity)
{
    pool_->upsert(warmTarget("t1", 3), now_);
    EXPECT_EQ(acquireAll(), 3u);
    auto idle = warmTarget("t1", 3);
    idle.reportedBusyElsewhere = 0;
    pool_->upsert(idle, now_);
    EXPECT_EQ(acquireAll(), 0u);
}

TEST_F(TargetPoolTest, RequestsOfThePreviousOwnerUseSlots)
{
    auto handedOver = warmTarget("t1", 3);
    handedOver.foreignInFlight = 3;
    pool_->upsert(handedOver, now_);
    EXPECT_EQ(acquireAll(), 0u);
    handedOver.foreignInFlight = 1;
    pool_->upsert(handedOver, now_);
    EXPECT_EQ(acquireAll(), 2u);
}

TEST_F(TargetPoolTest, AReducedSlotCountAppliesAtOnce)
{
    pool_->upsert(warmTarget("t1", 9), now_);
    const auto first = acquire();
    const auto second = acquire();
    pool_->upsert(warmTarget("t1", 2), now_);
    EXPECT_FALSE(acquire());
    finish(*first, DispatchResult::Answered);
    finish(*second, DispatchResult::Answered);
    EXPECT_EQ(acquireAll(), 2u);
}

TEST_F(TargetPoolTest, ALeavingTargetGetsNoNewWork)
{
    pool_->upsert(warmTarget("t1"), now_);
    const auto slot = acquire();
    auto leaving = warmTarget("t1");
    leaving.isLeaving = true;
    pool_->upsert(leaving, now_);
    EXPECT_FALSE(acquire());
    EXPECT_EQ(pool_->room(Service).room, 0u);
    EXPECT_EQ(pool_->room(Service).inFlight, 1u);
    finish(*slot, DispatchResult::Answered);
    EXPECT_EQ(pool_->room(Service).inFlight, 0u);
}

TEST_F(TargetPoolTest, ARemovedTargetIsKeptUntilItsRequestsComplete)
{
    pool_->upsert(warmTarget("t1"), now_);
    const auto slot = acquire();
    pool_->remove(TargetId("t1"), now_);
    EXPECT_FALSE(acquire());
    EXPECT_TRUE(pool_->find(TargetId("t1")));
    pool_->upsert(warmTarget("t1", 2), now_);
    EXPECT_EQ(acquireAll(), 1u) << "the request sent before the removal still uses its slot";
    pool_->remove(TargetId("t1"), now_);
    finish(*slot, DispatchResult::Answered);
    EXPECT_TRUE(pool_->find(TargetId("t1")));
}

TEST_F(TargetPoolTest, ANewerIncarnationStartsColdAndOldSlotsStayCounted)
{
    pool_->upsert(warmTarget("t1", 3, 1), now_);
    const auto old = acquire();
    pool_->upsert(coldTarget("t1", 3, 2), now_);
    EXPECT_FALSE(acquire()) << "the initial limit of 1 is used up by the request on the older incarnation";
    finish(*old, DispatchResult::Failed);
    const auto fresh = acquire();
    ASSERT_TRUE(fresh);
    EXPECT_EQ(fresh->incarnation, Incarnation {2});
}

TEST_F(TargetPoolTest, AStaleReleaseFreesNoSlotOfTheNewerIncarnation)
{
    pool_->upsert(warmTarget("t1", 1, 1), now_);
    const auto old = acquire();
    finish(*old, DispatchResult::Answered);
    pool_->upsert(warmTarget("t1", 1, 2), now_);
    ASSERT_TRUE(acquire());
    finish(*old, DispatchResult::Answered);
    EXPECT_FALSE(acquire());
    EXPECT_EQ(pool_->room(Service).inFlight, 1u);
}

TEST_F(TargetPoolTest, AnOlderIncarnationIsIgnored)
{
    makePool();
    pool_->upsert(warmTarget("t1", 3, 2), now_);
    pool_->upsert(warmTarget("t1", 9, 1), now_);
    EXPECT_EQ(acquireAll(), 3u);
    EXPECT_EQ(counters_.value(model::Counter::StaleMessages), 1u);
}

TEST_F(TargetPoolTest, ConsecutiveFailuresEjectAndASingleTrialRestores)
{
    makePool();
    pool_->upsert(warmTarget("a", 9), now_);
    pool_->upsert(coldTarget("b", 1), now_);
    const auto slotOfB = acquire({TargetId("a")});
    failUntilEjected("a");
    EXPECT_TRUE(pool_->find(TargetId("a"))->isEjected);
    EXPECT_EQ(counters_.value(model::Counter::Ejections), 1u);
    EXPECT_FALSE(acquire());

    now_ += 6s;
    const auto trial = acquire();
    ASSERT_TRUE(trial);
    EXPECT_TRUE(trial->isTrial);
    EXPECT_FALSE(acquire()) << "one trial at a time";
    finish(*trial, DispatchResult::Failed);
    now_ += 6s;
    EXPECT_FALSE(acquire()) << "the second ejection lasts twice as long";
    now_ += 5s;
    finish(*acquire(), DispatchResult::Answered);
    EXPECT_FALSE(pool_->find(TargetId("a"))->isEjected);
    EXPECT_EQ(pool_->find(TargetId("a"))->concurrencyLimit, 1u) << "restored with the initial limit";
    finish(*slotOfB, DispatchResult::Answered);
}

TEST_F(TargetPoolTest, ACancelledTrialMayBeRepeated)
{
    pool_->upsert(warmTarget("a", 9), now_);
    pool_->upsert(coldTarget("b", 1), now_);
    ASSERT_TRUE(acquire({TargetId("a")}));
    failUntilEjected("a");
    now_ += 6s;
    finish(*acquire(), DispatchResult::Cancelled);
    const auto trial = acquire();
    ASSERT_TRUE(trial);
    EXPECT_TRUE(trial->isTrial);
}

TEST_F(TargetPoolTest, ATrialStaysWithinTheSlots)
{
    makePool({.failuresToEject = 1});
    pool_->upsert(warmTarget("a", 2), now_);
    pool_->upsert(coldTarget("b", 1), now_);
    ASSERT_TRUE(acquire({TargetId("a")}));
    const auto first = acquire();
    ASSERT_TRUE(acquire());
    finish(*first, DispatchResult::Failed);
    EXPECT_TRUE(pool_->find(TargetId("a"))->isEjected);
    now_ += 6s;
    ASSERT_TRUE(acquire()); // The trial.
    EXPECT_EQ(pool_->find(TargetId("a"))->inFlight, 2u);
    EXPECT_FALSE(acquire());
}

TEST_F(TargetPoolTest, NoMoreThanTheAllowedFractionIsEjected)
{
    pool_->upsert(warmTarget("a"), now_);
    pool_->upsert(warmTarget("b"), now_);
    pool_->upsert(warmTarget("c"), now_);
    for (int request = 0; request < 60; ++request) {
        const auto slot = acquire();
        ASSERT_TRUE(slot);
        finish(*slot, DispatchResult::Failed);
    }
    int ejected = 0;
    for (const auto& status : pool_->targets())
        ejected += status.isEjected ? 1 : 0;
    EXPECT_EQ(ejected, 1);
    EXPECT_GE(pool_->room(Service).room, 2u);
}

TEST_F(TargetPoolTest, ExcludedTargetsAreNotSelected)
{
    pool_->upsert(warmTarget("a"), now_);
    EXPECT_FALSE(acquire({TargetId("a")}));
}

/// Randomized announcements, removals and results; the test counts the running requests itself.
TEST_F(TargetPoolTest, InFlightNeverExceedsTheSlotsUnderAnyOrderOfEvents)
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 random(seed);
        makePool({.ejectionTime = 50ms, .seed = seed});
        std::vector<ITargetPool::Slot> acquiredSlots;
        std::map<TargetId, uint32_t> slots;
        std::map<TargetId, uint64_t> incarnations;
        const std::array ids {"a", "b", "c"};
        for (int step = 0; step < 3000; ++step) {
            now_ += 1ms;
            const char* id = ids[random() % ids.size()];
            if (random() % 20 == 0) {
                auto announced = coldTarget(id, 1 + random() % 9, incarnations[TargetId(id)] += random() % 2);
                announced.reportedBusyElsewhere = random() % 12;
                announced.concurrencyLimit = random() % 12;
                announced.isLeaving = random() % 8 == 0;
                slots[TargetId(id)] = announced.slots;
                pool_->upsert(announced, now_);
            } else if (random() % 100 == 0) {
                pool_->remove(TargetId(id), now_);
            } else if (random() % 2 == 0 || acquiredSlots.empty()) {
                const auto slot = acquire();
                if (!slot)
                    continue;
                acquiredSlots.push_back(*slot);
                const auto running = std::ranges::count_if(
                    acquiredSlots, [&](const auto& other) { return other.target == slot->target; });
                ASSERT_LE(running, slots[slot->target]) << "seed " << seed << " step " << step;
            } else {
                const auto index = random() % acquiredSlots.size();
                finish(acquiredSlots[index], static_cast<DispatchResult>(random() % 4));
                acquiredSlots.erase(acquiredSlots.begin() + static_cast<std::ptrdiff_t>(index));
            }
            ASSERT_EQ(pool_->room(Service).inFlight, acquiredSlots.size());
        }
    }
}

} // namespace
} // namespace saltvane::steering
