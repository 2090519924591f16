/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "crashingtargets.h"

#include <deque>
#include <map>
#include <string>

namespace saltvane::fleet::test {

/// Counts the requests of all gateways together, cut off or not, that targets get within any second of their slow
/// starts.
class SlowStartLedger {
public:
    /// What a target bears: `perSecond` * `overage` + `slack` requests in a second.
    struct Bound {
        double perSecond = 0;
        double overage = 1.5;
        double slack = 5;
    };
    SlowStartLedger(Fleet& fleet, CrashingTargets& targets, const Bound& bound);

    /// Requests in the busiest second, as a fraction of the bound.
    [[nodiscard]] double maxBoundFraction() const { return maxBoundFraction_; }
    /// Describes that second.
    [[nodiscard]] const std::string& worstSecond() const { return worstSecond_; }

private:
    void recordArrival(const CrashingTargets::Exchange& exchange);

    struct Arrival {
        Timestamp at;
        size_t gateway = 0;
    };
    Fleet& fleet_;
    CrashingTargets& targets_;
    Bound bound_;
    std::map<size_t, std::deque<Arrival>> arrivals_; ///< Of the last second, by target.
    double maxBoundFraction_ = 0;
    std::string worstSecond_;
};

} // namespace saltvane::fleet::test
