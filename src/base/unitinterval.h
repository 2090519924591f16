/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <cstdint>

namespace saltvane {

/// Maps a hash evenly to the interval from 0 to below 1.
[[nodiscard]] inline double toUnitInterval(uint64_t hash)
{
    constexpr int UnusedBits = 11;
    return static_cast<double>(hash >> UnusedBits) * 0x1p-53;
}

} // namespace saltvane
