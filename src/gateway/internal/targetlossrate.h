/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

namespace saltvane::gateway {

/// Recent fraction of runs at this gateway that were lost because their target failed: the loss rate that any harmless
/// request has to expect.
class TargetLossRate {
public:
    void recordAnswer(Timestamp now);
    void recordLoss(Timestamp now);
    [[nodiscard]] double lossFraction(Timestamp now) const;

private:
    /// A burst of target losses is over after a few seconds.
    static constexpr Duration DecayTime = 5s;
    /// Prior for a gateway with few observations: 2 % of 25 runs, as in a fleet without failures.
    static constexpr double ExpectedLossFraction = 0.02;
    static constexpr double PriorRuns = 25;

    [[nodiscard]] double remaining(Timestamp now) const;
    void decay(Timestamp now);

    double answered_ = 0;
    double ended_ = 0;
    Timestamp decayedAt_ {};
};

} // namespace saltvane::gateway
