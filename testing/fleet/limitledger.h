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
#include <utility>
#include <vector>

namespace saltvane::fleet::test {

/// Checks that targets get no more requests than the limits in their responses allow. Counting starts ConvergenceTime
/// after an incarnation of a target first announced a limit. In any window of four seconds, all gateways together may
/// send one and a half times what the limit allows, plus five requests. Requests of a gateway count from half a second
/// after it was informed of the limit.
class LimitLedger {
public:
    LimitLedger(Fleet& fleet, CrashingTargets& targets);

    /// Exempts a gateway that restarts, stalls or is cut off for `duration`, until ConvergenceTime after its end.
    void exempt(size_t gateway, Duration duration = {});

    /// The highest ratio of requests to allowed requests in any window of four seconds; above 1 breaks the limit.
    [[nodiscard]] double maxBoundFraction() const { return maxBoundFraction_; }
    /// Describes the window with that ratio.
    [[nodiscard]] const std::string& worstWindow() const { return worstWindow_; }
    /// Requests that reached targets with a limit, as a fraction of what their limits allowed.
    [[nodiscard]] double usedFraction() const { return allowed_ == 0 ? 0 : arrived_ / allowed_; }
    /// Number of requests that reached this target.
    [[nodiscard]] size_t arrivalsAt(size_t target) const
    {
        const auto found = arrivals_.find(target);
        return found == arrivals_.end() ? 0 : found->second;
    }
    void clearArrivals() { arrivals_.clear(); }

    static constexpr Duration ConvergenceTime = 3s;
    static constexpr Duration Window = 4s;

private:
    struct IncarnationLimits {
        Timestamp firstAnnouncedAt;
        double limit = 0;
        Timestamp limitSince; ///< What the limits allowed is added to `allowed_` up to this time.
        std::deque<std::pair<Timestamp, double>> limits; ///< By the time from which each was in force.
        std::deque<Timestamp> counted; ///< Arrivals that count against the limit, within the current window.
    };

    void recordArrival(const CrashingTargets::Exchange& exchange);
    void recordResponse(const CrashingTargets::Exchange& exchange, const CrashingTargets::Signals& signals);
    /// Number of requests that the limits in force between the two times allow.
    [[nodiscard]] static double allowedIn(const IncarnationLimits& incarnation, Timestamp from, Timestamp until);
    [[nodiscard]] Timestamp now() const { return fleet_.registries().now(); }

    Fleet& fleet_;
    std::map<std::string, IncarnationLimits> incarnations_; ///< Incarnations that announce a limit now.
    std::map<std::pair<std::string, size_t>, Timestamp> informedAt_; ///< By incarnation and gateway.
    std::map<size_t, Timestamp> exemptUntil_;
    double maxBoundFraction_ = 0;
    std::string worstWindow_;
    double arrived_ = 0;
    double allowed_ = 0;
    std::map<size_t, size_t> arrivals_; ///< By target.
};

} // namespace saltvane::fleet::test
