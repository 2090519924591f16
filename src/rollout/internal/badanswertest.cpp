/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "rollout/internal/badanswertest.h"

#include <algorithm>
#include <cmath>

namespace saltvane::rollout {

namespace {

/// Allowance for the chance differences between two versions that are equally good.
constexpr double RateMargin = 0.02;
constexpr double MaxUsualRate = 0.8;

} // namespace

void BadAnswerTest::add(uint64_t answers, uint64_t badAnswers, double usualRate)
{
    const double usual = std::min(usualRate, MaxUsualRate) + RateMargin;
    const double worse = usual + MinExcess;
    const double ratio = static_cast<double>(badAnswers) * std::log(worse / usual)
        + static_cast<double>(answers - badAnswers) * std::log((1 - worse) / (1 - usual));
    totalRatio_ += ratio;
    recentRatio_ = std::max(0.0, recentRatio_ + ratio);
    recentBadAnswers_ = recentRatio_ > 0 ? recentBadAnswers_ + badAnswers : 0;
}

bool BadAnswerTest::isWorse() const
{
    return recentBadAnswers_ >= MinBadAnswers && recentRatio_ >= std::log(1 / FalseAlarmRate);
}

bool BadAnswerTest::isAsGood() const { return totalRatio_ <= std::log(MissRate) && !isWorse(); }

} // namespace saltvane::rollout
