/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace saltvane::gateway {

/// Which targets recently answered for which objects, according to this gateway's own requests. Bounded in size.
class WarmObjects {
public:
    void recordResponse(uint64_t object, uint64_t target, Timestamp now);
    [[nodiscard]] bool isWarm(uint64_t object, uint64_t target, Timestamp now) const;
    /// The target lost its warm objects.
    void forgetTarget(uint64_t target);

private:
    struct Entry {
        uint64_t target = 0;
        Timestamp answeredAt;
    };
    static constexpr size_t MaxTargetsPerObject = 4;
    using Entries = std::array<Entry, MaxTargetsPerObject>;

    std::unordered_map<uint64_t, Entries> objects_;
};

} // namespace saltvane::gateway
