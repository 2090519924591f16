/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/iwaitqueue.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <unordered_map>

namespace saltvane::steering {

/// Each waiter is linked both by arrival and by deadline; the queue order decides which list the next waiter comes
/// from.
class WaitQueue : public IWaitQueue {
public:
    WaitQueue(QueueOrder order, size_t capacity);
    ~WaitQueue() override;

    [[nodiscard]] bool push(WaiterId waiter, Timestamp deadline, Timestamp now) override;
    [[nodiscard]] std::optional<WaiterId> pop(Duration expectedServiceTime, Timestamp now) override;
    bool erase(WaiterId waiter) override;
    [[nodiscard]] std::vector<DroppedWaiter> drainDroppedWaiters() override;
    void tick(Duration expectedServiceTime, Timestamp now) override;
    [[nodiscard]] size_t size() const override { return waiters_.size(); }
    [[nodiscard]] Duration oldestWait(Timestamp now) const override;
    void setCapacity(size_t capacity) override { capacity_ = capacity; }

private:
    struct Waiter {
        WaiterId id = 0;
        uint64_t arrival = 0; ///< Orders equal deadlines.
        Timestamp deadline;
        Timestamp enqueuedAt;
        boost::intrusive::list_member_hook<> arrivalHook;
        boost::intrusive::set_member_hook<> deadlineHook;
    };
    struct EarlierDeadline {
        bool operator()(const Waiter& left, const Waiter& right) const
        {
            return std::pair(left.deadline, left.arrival) < std::pair(right.deadline, right.arrival);
        }
    };
    using ByArrival = boost::intrusive::list<Waiter,
        boost::intrusive::member_hook<Waiter, boost::intrusive::list_member_hook<>, &Waiter::arrivalHook>>;
    using ByDeadline = boost::intrusive::set<Waiter, boost::intrusive::compare<EarlierDeadline>,
        boost::intrusive::member_hook<Waiter, boost::intrusive::set_member_hook<>, &Waiter::deadlineHook>>;

    using Selector = Waiter& (WaitQueue::*)(Timestamp now);
    [[nodiscard]] static Selector selectorFor(QueueOrder order);
    Waiter& oldest(Timestamp now);
    Waiter& newestUnderOverload(Timestamp now);
    Waiter& earliestDeadline(Timestamp now);

    void dropLateWaiters(Duration expectedServiceTime, Timestamp now);
    void drop(Waiter& waiter, model::Reason reason);
    void remove(Waiter& waiter);

    QueueOrder order_;
    Selector selector_;
    size_t capacity_;
    uint64_t nextArrival_ = 0;
    Duration expectedServiceTime_ {};
    std::unordered_map<WaiterId, Waiter> waiters_; ///< For look-up by id; the lists below hold the order.
    ByArrival byArrival_;
    ByDeadline byDeadline_;
    std::vector<DroppedWaiter> dropped_;
};

} // namespace saltvane::steering
