/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"

#include <span>
#include <vector>

namespace saltvane::steering {

/// Share of each zone, by client region. The last column is the unassigned share.
class ShareMatrix {
public:
    ShareMatrix() = default;
    ShareMatrix(size_t regions, size_t zones)
        : columns_(zones + 1)
        , shares_(regions * columns_)
    {
    }

    [[nodiscard]] std::span<double> row(RegionIndex region)
    {
        return std::span(shares_).subspan(region.value * columns_, columns_);
    }
    [[nodiscard]] std::span<const double> row(RegionIndex region) const
    {
        return std::span(shares_).subspan(region.value * columns_, columns_);
    }

private:
    size_t columns_ = 0;
    std::vector<double> shares_;
};

/// Movement between two rows: half the sum of the absolute differences.
[[nodiscard]] double rowDistance(std::span<const double> from, std::span<const double> to);

} // namespace saltvane::steering
