/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <chrono>

namespace saltvane {

using Duration = std::chrono::nanoseconds;

/// Tag type of the host's monotonic clock. State machines never read a clock: they receive the time as an argument.
struct MonotonicClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard's name
};

using Timestamp = MonotonicClock::time_point;

using namespace std::chrono_literals; // NOLINT(google-global-names-in-headers)

[[nodiscard]] constexpr double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

[[nodiscard]] constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace saltvane
