/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/monotonicclock.h"

#include <chrono>
#include <cstdint>

namespace saltvane::saltvaned {

/// Wall clock time in milliseconds since the Unix epoch. It may jump: use it only for display and to order process
/// starts, never for durations.
inline int64_t wallClockUnixMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace saltvane::saltvaned
