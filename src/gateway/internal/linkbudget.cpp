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
constexpr double FirstGuessBytes = 64 * 1024;
constexpr double SizeWeight = 0.05; ///< Of one answer.
/// Of a route's objective: the rest is for the target's work and for what else is on the link.
constexpr double PartOfObjective = 0.5;

} // namespace

LinkBudget::LinkBudget(double megabits)
    : bytesPerSecond_(megabits * BytesPerMegabit)
    , usualBytes_(FirstGuessBytes)
{
}

bool LinkBudget::hasRoomFor(const model::Route& route) const
{
    if (bytesPerSecond_ <= 0 || inFlight_ == 0 || route.objective <= Duration::zero())
        return true;
    const double seconds = (inFlight_ + 1) * usualBytes_ / bytesPerSecond_;
    return seconds <= toSeconds(route.objective) * PartOfObjective;
}

void LinkBudget::noteEnded(uint64_t bytes)
{
    if (inFlight_ > 0)
        --inFlight_;
    if (bytes > 0)
        usualBytes_ += SizeWeight * (static_cast<double>(bytes) - usualBytes_);
}

} // namespace saltvane::gateway
