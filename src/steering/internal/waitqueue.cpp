/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/waitqueue.h"

#include <array>
#include <utility>

namespace saltvane::steering {

namespace {

/// The queue counts as overloaded once the oldest waiter has waited for the time until its deadline divided by this.
constexpr int OverloadWaitDivisor = 2;

} // namespace

WaitQueue::WaitQueue(QueueOrder order, size_t capacity)
    : order_(order)
    , selector_(selectorFor(order))
    , capacity_(capacity)
{
}

WaitQueue::~WaitQueue()
{
    byArrival_.clear();
    byDeadline_.clear();
}

WaitQueue::Selector WaitQueue::selectorFor(QueueOrder order)
{
    static constexpr std::array Selectors {
        &WaitQueue::oldest, &WaitQueue::newestUnderOverload, &WaitQueue::earliestDeadline};
    return Selectors[static_cast<size_t>(order)];
}

bool WaitQueue::push(WaiterId waiter, Timestamp deadline, Timestamp now)
{
    if (waiters_.contains(waiter))
        return false;
    if (waiters_.size() >= capacity_)
        dropLateWaiters(expectedServiceTime_, now);
    if (waiters_.size() >= capacity_) {
        if (order_ != QueueOrder::LifoUnderOverload || waiters_.empty())
            return false;
        drop(byArrival_.front(), model::Reason::QueueFull);
    }
    auto& entry = waiters_[waiter];
    entry.id = waiter;
    entry.arrival = nextArrival_++;
    entry.deadline = deadline;
    entry.enqueuedAt = now;
    byArrival_.push_back(entry);
    byDeadline_.insert(entry);
    return true;
}

std::optional<WaiterId> WaitQueue::pop(Duration expectedServiceTime, Timestamp now)
{
    dropLateWaiters(expectedServiceTime, now);
    if (waiters_.empty())
        return std::nullopt;
    auto& next = (this->*selector_)(now);
    const auto id = next.id;
    remove(next);
    return id;
}

bool WaitQueue::erase(WaiterId waiter)
{
    const auto found = waiters_.find(waiter);
    if (found == waiters_.end())
        return false;
    remove(found->second);
    return true;
}

std::vector<DroppedWaiter> WaitQueue::drainDroppedWaiters() { return std::exchange(dropped_, {}); }

void WaitQueue::tick(Duration expectedServiceTime, Timestamp now) { dropLateWaiters(expectedServiceTime, now); }

Duration WaitQueue::oldestWait(Timestamp now) const
{
    return byArrival_.empty() ? Duration::zero() : now - byArrival_.front().enqueuedAt;
}

WaitQueue::Waiter& WaitQueue::oldest(Timestamp /*now*/) { return byArrival_.front(); }

WaitQueue::Waiter& WaitQueue::newestUnderOverload(Timestamp now)
{
    auto& front = byArrival_.front();
    const auto timeBudget = front.deadline - front.enqueuedAt;
    const bool isOverloaded = now - front.enqueuedAt > timeBudget / OverloadWaitDivisor;
    return isOverloaded ? byArrival_.back() : front;
}

WaitQueue::Waiter& WaitQueue::earliestDeadline(Timestamp /*now*/) { return *byDeadline_.begin(); }

void WaitQueue::dropLateWaiters(Duration expectedServiceTime, Timestamp now)
{
    expectedServiceTime_ = expectedServiceTime;
    while (!byDeadline_.empty() && byDeadline_.begin()->deadline < now + expectedServiceTime)
        drop(*byDeadline_.begin(), model::Reason::QueueTimeout);
}

void WaitQueue::drop(Waiter& waiter, model::Reason reason)
{
    dropped_.push_back({.waiter = waiter.id, .reason = reason});
    remove(waiter);
}

void WaitQueue::remove(Waiter& waiter)
{
    byArrival_.erase(byArrival_.iterator_to(waiter));
    byDeadline_.erase(byDeadline_.iterator_to(waiter));
    waiters_.erase(waiter.id);
}

} // namespace saltvane::steering
