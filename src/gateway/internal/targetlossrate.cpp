/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetlossrate.h"

#include <cmath>

namespace saltvane::gateway {

double TargetLossRate::remaining(Timestamp now) const
{
    return std::exp(-toSeconds(now - decayedAt_) / toSeconds(DecayTime));
}

void TargetLossRate::decay(Timestamp now)
{
    const double remainingFraction = remaining(now);
    answered_ *= remainingFraction;
    ended_ *= remainingFraction;
    decayedAt_ = now;
}

void TargetLossRate::recordAnswer(Timestamp now)
{
    decay(now);
    answered_ += 1;
}

void TargetLossRate::recordLoss(Timestamp now)
{
    decay(now);
    ended_ += 1;
}

double TargetLossRate::lossFraction(Timestamp now) const
{
    const double remainingFraction = remaining(now);
    const double ended = ended_ * remainingFraction;
    return (ended + ExpectedLossFraction * PriorRuns) / (answered_ * remainingFraction + ended + PriorRuns);
}

} // namespace saltvane::gateway
