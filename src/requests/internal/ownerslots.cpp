/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/ownerslots.h"

namespace saltvane::requests {

namespace {

/// Longer than a connection close needs to reach a target in the same zone, and shorter than most response times.
constexpr Duration ConnectionCloseDelay = 5ms;

} // namespace

std::optional<steering::ITargetPool::Slot> OwnerSlots::acquire(
    const ServiceName& service, std::span<const TargetId> excluded, Timestamp now)
{
    return pool_.acquire(service, excluded, now);
}

void OwnerSlots::release(
    const steering::ITargetPool::Slot& slot, steering::DispatchResult result, Duration latency, Timestamp now)
{
    pool_.release(slot, result, latency, now);
}

void OwnerSlots::releaseAfterClose(
    const steering::ITargetPool::Slot& slot, steering::DispatchResult result, Duration latency, Timestamp now)
{
    closingSlots_.push_back(
        {.slot = slot, .result = result, .latency = latency, .releaseAt = now + ConnectionCloseDelay});
}

void OwnerSlots::tick(Timestamp now)
{
    while (!closingSlots_.empty() && closingSlots_.front().releaseAt <= now)
        releaseFirst(now);
}

void OwnerSlots::releaseAll(Timestamp now)
{
    while (!closingSlots_.empty())
        releaseFirst(now);
}

void OwnerSlots::releaseFirst(Timestamp now)
{
    const ClosingSlot closed = closingSlots_.front();
    closingSlots_.pop_front();
    release(closed.slot, closed.result, closed.latency, now);
}

} // namespace saltvane::requests
