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

/// Upper bounds of the latency histogram buckets, in seconds. One more bucket counts all larger values.
inline constexpr std::array<double, 13> LatencyBucketBoundsSeconds {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8};

/// A latency histogram, exported by the metrics endpoint.
struct LatencyHistogram {
    std::array<uint64_t, LatencyBucketBoundsSeconds.size() + 1> counts {};
    double sumSeconds = 0;

    void add(Duration duration)
    {
        const double seconds = toSeconds(duration);
        size_t bucket = 0;
        while (bucket < LatencyBucketBoundsSeconds.size() && seconds > LatencyBucketBoundsSeconds.at(bucket))
            ++bucket;
        ++counts.at(bucket);
        sumSeconds += seconds;
    }
};

/// A latency histogram with its metric labels.
struct StageLatency {
    std::string_view kind; ///< Kind of request.
    std::string_view stage; ///< "target": from sending to the response head; "total": from arrival to the response end.
    LatencyHistogram histogram;
};

} // namespace saltvane::model
