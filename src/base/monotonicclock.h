/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

namespace saltvane {

/// For all decisions: it never steps. Adapters read it; cores are handed the time.
[[nodiscard]] inline Timestamp monotonicNow()
{
    return Timestamp(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace saltvane
