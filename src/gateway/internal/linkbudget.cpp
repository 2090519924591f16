/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/linkbudget.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

constexpr double BytesPerMegabit = 125'000;
constexpr double InitialResponseBytes = 64 * 1024;
constexpr double AverageWeight = 0.05; ///< Weight of one response in the moving average.
/// Fraction of a route's objective; the rest is for the target's processing and for other traffic on the link.
constexpr double MaxObjectiveFraction = 0.5;

} // namespace

LinkBudget::LinkBudget(double megabits)
    : bytesPerSecond_(megabits * BytesPerMegabit)
    , averageBytes_(InitialResponseBytes)
{
}

bool LinkBudget::canCarry(const model::Route& route) const
{
    if (bytesPerSecond_ <= 0 || inFlight_ == 0 || route.objective <= Duration::zero())
        return true;
    const double seconds = (inFlight_ + 1) * averageBytes_ / bytesPerSecond_;
    return seconds <= toSeconds(route.objective) * MaxObjectiveFraction;
}

void LinkBudget::recordCompletion(uint64_t bytes)
{
    if (inFlight_ > 0)
        --inFlight_;
    if (bytes > 0)
        averageBytes_ += AverageWeight * (static_cast<double>(bytes) - averageBytes_);
}

} // namespace saltvane::gateway
