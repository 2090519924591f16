/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

namespace saltvane::steering {

/// Concurrency of the completed requests by Little's law: arrival rate times time in flight, smoothed exponentially.
class DemandMeter {
public:
    void record(Duration inFlight) { sum_ += toSeconds(inFlight); }
    /// Decays the recorded sum by `factor`, as returned by decayFactor().
    void decay(double factor) { sum_ *= factor; }
    [[nodiscard]] double concurrency() const { return sum_ / toSeconds(TimeConstant); }
    [[nodiscard]] static double decayFactor(Duration elapsed);

private:
    static constexpr Duration TimeConstant = 3s;
    double sum_ = 0;
};

} // namespace saltvane::steering
