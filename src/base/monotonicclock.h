/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <ctime>

namespace saltvane {

/// For all decisions: it never steps, and counts the time that the host was suspended. The steady clock doesn't: a
/// leader that slept for three seconds would wake with its lease of a third of a second, and tell a plan that was
/// replaced. Adapters read it; cores are handed the time.
[[nodiscard]] inline Timestamp monotonicNow()
{
    timespec now {};
    (void)::clock_gettime(CLOCK_BOOTTIME, &now); // Fails on kernels before 2.6.39 only.
    return Timestamp(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace saltvane
