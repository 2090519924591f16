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

/// For people and for the order of starts only: it may step.
inline int64_t wallClockUnixMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace saltvane::saltvaned
