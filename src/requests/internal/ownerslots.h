/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/itargetpool.h"

#include <deque>
#include <optional>
#include <span>

namespace saltvane::requests {

/// The target slots used by requests of this host; each is released exactly once. After an exchange was aborted, its
/// slot stays in use for a short time, because the target may work on the request until it detects the closed
/// connection.
class OwnerSlots {
public:
    explicit OwnerSlots(steering::ITargetPool& pool)
        : pool_(pool)
    {
    }

    [[nodiscard]] std::optional<steering::ITargetPool::Slot> acquire(
        const ServiceName& service, std::span<const TargetId> excluded, Timestamp now);
    /// Releases the slot of an exchange that the target has finished.
    void release(
        const steering::ITargetPool::Slot& slot, steering::DispatchResult result, Duration latency, Timestamp now);
    /// Releases the slot after a delay: the connection was closed while the target may still be working.
    void releaseAfterClose(
        const steering::ITargetPool::Slot& slot, steering::DispatchResult result, Duration latency, Timestamp now);
    /// Releases the slots whose delay has passed.
    void tick(Timestamp now);
    void releaseAll(Timestamp now);
    /// Slots of aborted exchanges that are not released yet.
    [[nodiscard]] uint32_t closingCount() const { return static_cast<uint32_t>(closingSlots_.size()); }

private:
    struct ClosingSlot {
        steering::ITargetPool::Slot slot;
        steering::DispatchResult result = steering::DispatchResult::Cancelled;
        Duration latency {};
        Timestamp releaseAt;
    };
    void releaseFirst(Timestamp now);

    steering::ITargetPool& pool_;
    std::deque<ClosingSlot> closingSlots_;
};

} // namespace saltvane::requests
