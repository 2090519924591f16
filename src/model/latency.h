/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace saltvane::model {

/// Upper bounds of the buckets of latency histograms, in seconds; one more bucket holds the rest.
inline constexpr std::array<double, 13> LatencyBounds {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8};

/// How long things took, as the metrics address serves it.
struct LatencyHistogram {
    std::array<uint64_t, LatencyBounds.size() + 1> counts {};
    double sumSeconds = 0;

    void add(Duration duration)
    {
        const double seconds = toSeconds(duration);
        size_t bucket = 0;
        while (bucket < LatencyBounds.size() && seconds > LatencyBounds.at(bucket))
            ++bucket;
        ++counts.at(bucket);
        sumSeconds += seconds;
    }
};

/// A histogram with its labels.
struct StageLatency {
    std::string_view kind; ///< Of request.
    std::string_view stage; ///< "target": sending to the answer's head; "total": arrival to the answer's end.
    LatencyHistogram histogram;
};

} // namespace saltvane::model
