/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace saltvane::steering {

/// A route row compiled for fast selection. Each share becomes a range of 64-bit numbers. A guide table of fixed size
/// gives the index of the range at which to start the search, so that a pick costs nearly the same for any number of
/// zones.
class RouteTable {
public:
    /// `shares` by zone index; what is missing from a sum of 1 is unassigned.
    void compile(std::span<const double> shares);
    /// The zone whose range contains `point`; nullopt in the unassigned share.
    [[nodiscard]] std::optional<ZoneIndex> pick(uint64_t point) const
    {
        size_t range = guide_[point >> GuideShift];
        while (range < ranges_.size() && point > ranges_[range].last)
            ++range;
        if (range == ranges_.size())
            return std::nullopt;
        return ranges_[range].zone;
    }

private:
    static constexpr size_t GuideBits = 7;
    static constexpr size_t GuideShift = 64 - GuideBits;

    struct Range {
        uint64_t last = 0; ///< Last point of the range.
        ZoneIndex zone;
    };

    std::vector<Range> ranges_;
    std::array<uint16_t, size_t {1} << GuideBits> guide_ {};
};

} // namespace saltvane::steering
