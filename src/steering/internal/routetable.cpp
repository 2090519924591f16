/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/routetable.h"

#include <cmath>
#include <limits>

namespace saltvane::steering {

namespace {

constexpr double FullShareTolerance = 1e-9;

uint64_t lastPoint(double cumulativeShare)
{
    constexpr auto Max = std::numeric_limits<uint64_t>::max();
    if (cumulativeShare >= 1 - FullShareTolerance)
        return Max;
    return static_cast<uint64_t>(std::ldexp(cumulativeShare, 64));
}

} // namespace

void RouteTable::compile(std::span<const double> shares)
{
    ranges_.clear();
    double sum = 0;
    for (uint32_t zone = 0; zone < shares.size(); ++zone) {
        if (shares[zone] <= 0)
            continue;
        sum += shares[zone];
        ranges_.push_back({.last = lastPoint(sum), .zone = {zone}});
    }
    size_t range = 0;
    for (size_t cell = 0; cell < guide_.size(); ++cell) {
        const auto first = static_cast<uint64_t>(cell) << GuideShift;
        while (range < ranges_.size() && first > ranges_[range].last)
            ++range;
        guide_[cell] = static_cast<uint16_t>(range);
    }
}

} // namespace saltvane::steering
