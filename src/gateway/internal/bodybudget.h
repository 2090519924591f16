/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/sharedbytes.h"

#include <cstddef>
#include <cstdint>

namespace saltvane::gateway {

/// Bounds the memory of the bodies of all requests together. docs/SETTINGS.md
class BodyBudget {
public:
    /// Bodies up to this size may use the part of the budget that is reserved for them.
    static constexpr uint64_t MaxSmallBodyBytes = 64 * 1024;

    /// `hostMemoryBytes`: the memory that this host may use.
    explicit BodyBudget(uint64_t hostMemoryBytes);

    /// Bytes held for bodies, also by dispatches of requests that have ended.
    [[nodiscard]] uint64_t held() const { return memory_->bytes; }
    /// The largest body that fits while no other one is held. One byte is left to find that a body of unknown length
    /// is too large.
    [[nodiscard]] uint64_t maxBodyBytes() const { return total_ - reserved_ - 1; }
    [[nodiscard]] bool hasRoom(uint64_t bytes, bool isSmall) const
    {
        return held() + bytes <= (isSmall ? total_ : total_ - reserved_);
    }
    /// Adds a block to the body; hasRoom() must be true for it.
    void addBlock(SharedBytes& body, size_t capacity) { body.addBlock(capacity, memory_); }

private:
    uint64_t total_;
    uint64_t reserved_; ///< For small bodies.
    BlockMemoryRef memory_;
};

} // namespace saltvane::gateway
