/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/ownerexchange.h"
#include "steering/itargetpool.h"
#include "steering/iwaitqueue.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace saltvane::requests {

/// One queue for each service, with the smoothed response time of the service's targets.
class OwnerQueues {
public:
    OwnerQueues(steering::QueueOrder order, double maxQueuedPerSlot)
        : order_(order)
        , maxQueuedPerSlot_(maxQueuedPerSlot)
    {
    }

    /// Returns false if the queue is full. The capacity of the queue is proportional to `usableSlots`.
    [[nodiscard]] bool push(const OwnerExchange& exchange, uint32_t usableSlots, Timestamp now);
    [[nodiscard]] std::optional<OwnerExchangeId> pop(const ServiceName& service, Timestamp now);
    void erase(const OwnerExchange& exchange);
    void tick(Timestamp now);
    [[nodiscard]] std::vector<steering::DroppedWaiter> drainDroppedWaiters();

    void recordServiceTime(const ServiceName& service, Duration time);
    /// Expected time until a request that arrives now gets a slot.
    [[nodiscard]] Duration expectedWait(const ServiceName& service, uint32_t usableSlots) const;
    [[nodiscard]] size_t size(const ServiceName& service) const;
    [[nodiscard]] Duration oldestWait(const ServiceName& service, Timestamp now) const;
    [[nodiscard]] std::vector<ServiceName> waitingServices() const;

private:
    struct Queue {
        std::unique_ptr<steering::IWaitQueue> waiters;
        Duration serviceTime {}; ///< Smoothed response time; zero before the first response.
    };
    Queue& queueOf(const ServiceName& service);

    steering::QueueOrder order_;
    double maxQueuedPerSlot_;
    std::map<ServiceName, Queue> queues_;
};

} // namespace saltvane::requests
