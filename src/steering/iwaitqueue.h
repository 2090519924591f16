/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/reasons.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace saltvane::steering {

/// Identifies a waiting request; chosen by the caller.
using WaiterId = uint64_t;

/// Order in which waiting requests get free slots.
enum class QueueOrder { Fifo, LifoUnderOverload, EarliestDeadline };

struct DroppedWaiter {
    WaiterId waiter = 0;
    model::Reason reason = model::Reason::QueueTimeout;
};

/// The bounded queue of one service at an owner host. Drops requests as soon as they can no longer meet their deadline.
class IWaitQueue {
public:
    virtual ~IWaitQueue() = default;
    /// Returns false if the queue is full even after dropping the waiters that can no longer meet their deadline; the
    /// caller then refuses the request with QueueFull.
    [[nodiscard]] virtual bool push(WaiterId waiter, Timestamp deadline, Timestamp now) = 0;
    /// Removes and returns the next waiter that can still meet its deadline, given the expected service time.
    [[nodiscard]] virtual std::optional<WaiterId> pop(Duration expectedServiceTime, Timestamp now) = 0;
    virtual bool erase(WaiterId waiter) = 0;
    /// Returns the waiters dropped since the last call, in order.
    [[nodiscard]] virtual std::vector<DroppedWaiter> drainDroppedWaiters() = 0;
    virtual void tick(Duration expectedServiceTime, Timestamp now) = 0;
    [[nodiscard]] virtual size_t size() const = 0;
    [[nodiscard]] virtual Duration oldestWait(Timestamp now) const = 0;
    virtual void setCapacity(size_t capacity) = 0;
};

[[nodiscard]] std::unique_ptr<IWaitQueue> makeWaitQueue(QueueOrder order, size_t capacity);

} // namespace saltvane::steering
