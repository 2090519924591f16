/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/iwaitqueue.h"

#include <gtest/gtest.h>

namespace saltvane::steering {
namespace {

class WaitQueueTest : public ::testing::Test {
protected:
    void make(QueueOrder order, size_t capacity = 4) { queue_ = makeWaitQueue(order, capacity); }
    bool push(WaiterId waiter, Duration allowance) { return queue_->push(waiter, now_ + allowance, now_); }
    std::optional<WaiterId> pop(Duration serviceTime = 10ms) { return queue_->pop(serviceTime, now_); }

    Timestamp now_ {5s};
    std::unique_ptr<IWaitQueue> queue_;
};

TEST_F(WaitQueueTest, FifoKeepsTheOrderOfArrival)
{
    make(QueueOrder::Fifo);
    ASSERT_TRUE(push(1, 2s));
    ASSERT_TRUE(push(2, 1s));
    EXPECT_EQ(pop(), 1u);
    EXPECT_EQ(pop(), 2u);
    EXPECT_EQ(pop(), std::nullopt);
}

TEST_F(WaitQueueTest, EarliestDeadlineGoesFirstAndTiesByArrival)
{
    make(QueueOrder::EarliestDeadline);
    ASSERT_TRUE(push(1, 2s));
    ASSERT_TRUE(push(2, 1s));
    ASSERT_TRUE(push(3, 1s));
    EXPECT_EQ(pop(), 2u);
    EXPECT_EQ(pop(), 3u);
    EXPECT_EQ(pop(), 1u);
}

TEST_F(WaitQueueTest, LifoOnlyUnderOverload)
{
    make(QueueOrder::LifoUnderOverload);
    ASSERT_TRUE(push(1, 1s));
    ASSERT_TRUE(push(2, 1s));
    ASSERT_TRUE(push(3, 1s));
    EXPECT_EQ(pop(), 1u);
    now_ += 600ms;
    ASSERT_TRUE(push(4, 1s));
    EXPECT_EQ(pop(), 4u);
    EXPECT_EQ(pop(), 3u);
}

TEST_F(WaitQueueTest, DropsWaitersThatCannotMeetTheirDeadline)
{
    make(QueueOrder::Fifo);
    ASSERT_TRUE(push(1, 100ms));
    ASSERT_TRUE(push(2, 1s));
    now_ += 95ms;
    EXPECT_EQ(pop(10ms), 2u);
    const auto dropped = queue_->drainDroppedWaiters();
    ASSERT_EQ(dropped.size(), 1u);
    EXPECT_EQ(dropped[0].waiter, 1u);
    EXPECT_EQ(dropped[0].reason, model::Reason::QueueTimeout);
    EXPECT_TRUE(queue_->drainDroppedWaiters().empty());
}

TEST_F(WaitQueueTest, TickDropsLateWaiters)
{
    make(QueueOrder::EarliestDeadline);
    ASSERT_TRUE(push(1, 100ms));
    queue_->tick(10ms, now_ + 91ms);
    EXPECT_EQ(queue_->drainDroppedWaiters().size(), 1u);
    EXPECT_EQ(queue_->size(), 0u);
}

TEST_F(WaitQueueTest, AFullQueueRefusesUnlessLateWaitersCanBeDropped)
{
    make(QueueOrder::Fifo, 2);
    ASSERT_TRUE(push(1, 50ms));
    ASSERT_TRUE(push(2, 1s));
    EXPECT_FALSE(push(3, 1s));
    now_ += 60ms;
    EXPECT_TRUE(push(4, 1s));
    EXPECT_EQ(queue_->size(), 2u);
}

TEST_F(WaitQueueTest, AFullLifoQueueDropsTheOldest)
{
    make(QueueOrder::LifoUnderOverload, 1);
    ASSERT_TRUE(push(1, 1s));
    ASSERT_TRUE(push(2, 1s));
    const auto dropped = queue_->drainDroppedWaiters();
    ASSERT_EQ(dropped.size(), 1u);
    EXPECT_EQ(dropped[0].waiter, 1u);
    EXPECT_EQ(dropped[0].reason, model::Reason::QueueFull);
    EXPECT_EQ(pop(), 2u);
}

TEST_F(WaitQueueTest, ZeroCapacityRefusesEveryWaiter)
{
    for (const auto order : {QueueOrder::Fifo, QueueOrder::LifoUnderOverload, QueueOrder::EarliestDeadline}) {
        make(order, 0);
        EXPECT_FALSE(push(1, 1s));
    }
}

TEST_F(WaitQueueTest, AnErasedWaiterIsNeitherPoppedNorDropped)
{
    make(QueueOrder::Fifo);
    ASSERT_TRUE(push(1, 1s));
    EXPECT_TRUE(queue_->erase(1));
    EXPECT_FALSE(queue_->erase(1));
    EXPECT_EQ(pop(), std::nullopt);
    EXPECT_TRUE(queue_->drainDroppedWaiters().empty());
}

TEST_F(WaitQueueTest, AWaiterIsQueuedOnlyOnce)
{
    make(QueueOrder::Fifo);
    ASSERT_TRUE(push(1, 1s));
    EXPECT_FALSE(push(1, 1s));
    EXPECT_EQ(queue_->size(), 1u);
}

TEST_F(WaitQueueTest, OldestWaitIsOfTheFirstArrival)
{
    make(QueueOrder::EarliestDeadline);
    EXPECT_EQ(queue_->oldestWait(now_), Duration::zero());
    ASSERT_TRUE(push(1, 2s));
    now_ += 30ms;
    ASSERT_TRUE(push(2, 1s));
    EXPECT_EQ(queue_->oldestWait(now_), 30ms);
}

TEST_F(WaitQueueTest, ASmallerCapacityAppliesToNewWaiters)
{
    make(QueueOrder::Fifo, 3);
    ASSERT_TRUE(push(1, 1s));
    ASSERT_TRUE(push(2, 1s));
    queue_->setCapacity(1);
    EXPECT_FALSE(push(3, 1s));
    EXPECT_EQ(queue_->size(), 2u);
}

} // namespace
} // namespace saltvane::steering
