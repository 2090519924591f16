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

/// Which targets lately answered for which objects, as far as this gateway's own requests tell. Bounded.
class WarmObjects {
public:
    void note(uint64_t object, uint64_t target, Timestamp now);
    [[nodiscard]] bool isWarm(uint64_t object, uint64_t target, Timestamp now) const;
    /// The target lost what it had.
    void forgetTarget(uint64_t target);

private:
    struct Place {
        uint64_t target = 0;
        Timestamp answeredAt;
    };
    static constexpr size_t PlacesPerObject = 4;
    using Places = std::array<Place, PlacesPerObject>;

    std::unordered_map<uint64_t, Places> objects_;
};

} // namespace saltvane::gateway
