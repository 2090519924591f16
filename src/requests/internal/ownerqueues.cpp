/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/ownerqueues.h"

#include <algorithm>
#include <cmath>

namespace saltvane::requests {

namespace {

/// The newest response time has the weight 1 / SmoothingDivisor in the smoothed value.
constexpr int SmoothingDivisor = 8;
constexpr Duration MinExpectedWait = 10ms;
constexpr Duration MaxExpectedWait = 10s;

size_t capacityFor(uint32_t usableSlots, double maxQueuedPerSlot)
{
    return std::max<size_t>(1, static_cast<size_t>(std::ceil(usableSlots * maxQueuedPerSlot)));
}

} // namespace

OwnerQueues::Queue& OwnerQueues::queueOf(const ServiceName& service)
{
    Queue& queue = queues_[service];
    if (!queue.waiters)
        queue.waiters = steering::makeWaitQueue(order_, 1);
    return queue;
}

bool OwnerQueues::push(const OwnerExchange& exchange, uint32_t usableSlots, Timestamp now)
{
    Queue& queue = queueOf(exchange.request.service);
    queue.waiters->setCapacity(capacityFor(usableSlots, maxQueuedPerSlot_));
    return queue.waiters->push(exchange.id, exchange.deadline, now);
}

std::optional<OwnerExchangeId> OwnerQueues::pop(const ServiceName& service, Timestamp now)
{
    Queue& queue = queueOf(service);
    return queue.waiters->pop(queue.serviceTime, now);
}

void OwnerQueues::erase(const OwnerExchange& exchange)
{
    const auto found = queues_.find(exchange.request.service);
    if (found != queues_.end())
        found->second.waiters->erase(exchange.id);
}

void OwnerQueues::tick(Timestamp now)
{
    for (auto& [service, queue] : queues_)
        queue.waiters->tick(queue.serviceTime, now);
}

std::vector<steering::DroppedWaiter> OwnerQueues::drainDroppedWaiters()
{
    std::vector<steering::DroppedWaiter> dropped;
    for (auto& [service, queue] : queues_) {
        const std::vector<steering::DroppedWaiter> more = queue.waiters->drainDroppedWaiters();
        dropped.insert(dropped.end(), more.begin(), more.end());
    }
    return dropped;
}

void OwnerQueues::recordServiceTime(const ServiceName& service, Duration time)
{
    Duration& smoothed = queueOf(service).serviceTime;
    smoothed = smoothed == Duration::zero() ? time : smoothed + (time - smoothed) / SmoothingDivisor;
}

Duration OwnerQueues::expectedWait(const ServiceName& service, uint32_t usableSlots) const
{
    const auto found = queues_.find(service);
    if (found == queues_.end())
        return MinExpectedWait;
    const auto ahead = static_cast<int64_t>(found->second.waiters->size()) + 1;
    const Duration wait = found->second.serviceTime * ahead / std::max<uint32_t>(usableSlots, 1);
    return std::clamp<Duration>(wait, MinExpectedWait, MaxExpectedWait);
}

size_t OwnerQueues::size(const ServiceName& service) const
{
    const auto found = queues_.find(service);
    return found == queues_.end() ? 0 : found->second.waiters->size();
}

Duration OwnerQueues::oldestWait(const ServiceName& service, Timestamp now) const
{
    const auto found = queues_.find(service);
    return found == queues_.end() ? Duration {} : found->second.waiters->oldestWait(now);
}

std::vector<ServiceName> OwnerQueues::waitingServices() const
{
    std::vector<ServiceName> services;
    for (const auto& [service, queue] : queues_) {
        if (queue.waiters->size() > 0)
            services.push_back(service);
    }
    return services;
}

} // namespace saltvane::requests
