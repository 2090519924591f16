/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/sharematrix.h"

#include <cmath>

namespace saltvane::steering {

double rowDistance(std::span<const double> from, std::span<const double> to)
{
    double sum = 0;
    for (size_t column = 0; column < from.size(); ++column)
        sum += std::abs(from[column] - to[column]);
    return sum / 2;
}

} // namespace saltvane::steering
