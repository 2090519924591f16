/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "faketargetpool.h"

#include <algorithm>

namespace saltvane::requests {

uint32_t FakeTargetPool::inFlight() const
{
    uint32_t sum = 0;
    for (const auto& [id, target] : targets_)
        sum += target.inFlight;
    return sum;
}

std::optional<steering::ITargetPool::Slot> FakeTargetPool::acquire(
    const ServiceName& /*service*/, std::span<const TargetId> excluded, Timestamp /*now*/)
{
    for (auto& [id, target] : targets_) {
        if (target.inFlight >= target.slots || std::ranges::find(excluded, id) != excluded.end())
            continue;
        ++target.inFlight;
        return Slot {.target = id, .incarnation = {1}, .address = {.ip = "127.0.0.1", .port = 9000}};
    }
    return std::nullopt;
}

void FakeTargetPool::release(const Slot& slot, steering::DispatchResult result, Duration latency, Timestamp /*now*/)
{
    Target& target = targets_[slot.target];
    if (target.inFlight == 0) {
        misuses_.push_back("slot of " + slot.target.value() + " released twice");
        return;
    }
    --target.inFlight;
    releases_.push_back({.target = slot.target, .result = result, .latency = latency});
}

steering::PoolRoom FakeTargetPool::room(const ServiceName& service) const
{
    steering::PoolRoom room {.service = service, .inFlight = inFlight()};
    for (const auto& [id, target] : targets_) {
        ++room.targets;
        room.slots += target.slots;
        room.room += target.slots;
    }
    return room;
}

std::optional<steering::PoolTargetStatus> FakeTargetPool::find(const TargetId& target) const
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return std::nullopt;
    return steering::PoolTargetStatus {.target = target, .inFlight = found->second.inFlight};
}

} // namespace saltvane::requests
