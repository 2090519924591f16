/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/slowstart.h"

#include <algorithm>

namespace saltvane::steering {

namespace {

constexpr double MinLimit = 1;
/// Each answer in time grows the limit by its reciprocal, that is by one slot for each round of answers.
constexpr double GrowthPerRound = 1;
/// Slow answers grow the limit too, but less, so that a target that is always slower does not stay cold.
constexpr double SlowGrowthPerRound = 0.1;
constexpr double DecreaseFactor = 0.7;
/// The limit counts as used if the requests in flight reach the limit divided by this.
constexpr uint32_t UsedLimitDivisor = 2;

} // namespace

SlowStart::SlowStart(uint32_t limit, uint32_t maxLimit)
    : limit_(std::max<double>(limit, MinLimit))
    , maxLimit_(maxLimit)
{
    setMaxLimit(maxLimit);
}

void SlowStart::setMaxLimit(uint32_t maxLimit)
{
    maxLimit_ = maxLimit;
    limit_ = std::clamp<double>(limit_, MinLimit, std::max<double>(maxLimit, MinLimit));
}

void SlowStart::recordAnswer(bool isInTime, uint32_t inFlight)
{
    if (inFlight * UsedLimitDivisor < limit())
        return;
    grow((isInTime ? GrowthPerRound : SlowGrowthPerRound) / limit_);
}

void SlowStart::recordShed(uint32_t inFlight)
{
    shrinkTo(std::min(limit_ * DecreaseFactor, static_cast<double>(inFlight) - 1));
}

void SlowStart::recordFailure() { shrinkTo(limit_ * DecreaseFactor); }

void SlowStart::grow(double amount) { limit_ = std::min<double>(limit_ + amount, std::max<double>(maxLimit_, 1)); }

void SlowStart::shrinkTo(double limit) { limit_ = std::max(limit, MinLimit); }

} // namespace saltvane::steering
