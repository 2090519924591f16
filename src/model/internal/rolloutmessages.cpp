/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/rolloutmessages.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace saltvane::model {

namespace {
constexpr std::array<std::string_view, 4> PhaseNames {"trial", "switching", "completed", "rolled-back"};
constexpr Duration FirstBucketEnd = 5ms;
} // namespace

size_t AnswerCounts::bucketOf(Duration time)
{
    const double doublings = std::log2(std::max(toSeconds(time), 1e-9) / toSeconds(FirstBucketEnd));
    return static_cast<size_t>(std::clamp(std::ceil(doublings * 2), 0.0, static_cast<double>(TimeBuckets - 1)));
}

void AnswerCounts::add(Duration time)
{
    const size_t bucket = bucketOf(time);
    if (byTime.size() <= bucket)
        byTime.resize(bucket + 1);
    ++byTime[bucket];
}

uint64_t AnswerCounts::total() const { return std::accumulate(byTime.begin(), byTime.end(), failed); }

std::string_view toString(RolloutPhase phase) { return PhaseNames.at(static_cast<size_t>(phase)); }

} // namespace saltvane::model
