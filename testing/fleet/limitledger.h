/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "endingtargets.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace saltvane::fleet::test {

/// Holds what reaches targets to the limits that their answers name: in no four seconds, from the contact time after a
/// start of a target first named one, more than one and a half times what it allows and five requests, of all gateways
/// that had its word for half a second.
class LimitLedger {
public:
    LimitLedger(Fleet& fleet, EndingTargets& targets);

    /// A restart, stall or cut of the gateway excuses it, until the contact time after the end of that.
    void excuse(size_t gateway, Duration duration = {});

    /// The most that any four seconds had of what they may have; over 1 breaks the limit.
    [[nodiscard]] double mostOfBound() const { return mostOfBound_; }
    /// Where that was.
    [[nodiscard]] const std::string& worst() const { return worst_; }
    /// Requests that reached targets with a limit from the contact time on, of what their limits allowed.
    [[nodiscard]] double usedShare() const { return allowed_ == 0 ? 0 : arrived_ / allowed_; }
    /// Requests that reached this target.
    [[nodiscard]] size_t arrivalsAt(size_t target) const
    {
        const auto found = arrivals_.find(target);
        return found == arrivals_.end() ? 0 : found->second;
    }
    void clearArrivals() { arrivals_.clear(); }

    static constexpr Duration ContactTime = 3s;
    static constexpr Duration Window = 4s;

private:
    struct Start {
        Timestamp firstNamedAt;
        double limit = 0;
        Timestamp limitSince; ///< Accounted for in `allowances` up to here.
        std::deque<std::pair<Timestamp, double>> limits; ///< From when on each was in force.
        std::deque<Timestamp> counted; ///< Arrivals that the limit binds.
    };

    void noteArrival(const EndingTargets::Contact& contact);
    void noteAnswered(const EndingTargets::Contact& contact, const EndingTargets::Needs& needs);
    /// Requests that the limits of the window up to now allow; none: there was none for a part of it.
    [[nodiscard]] static double allowedIn(const Start& start, Timestamp from, Timestamp until);
    [[nodiscard]] Timestamp now() const { return fleet_.registries().now(); }

    Fleet& fleet_;
    std::map<std::string, Start> starts_; ///< Those that name a limit now.
    std::map<std::pair<std::string, size_t>, Timestamp> toldAt_; ///< By start and gateway.
    std::map<size_t, Timestamp> excusedUntil_;
    double mostOfBound_ = 0;
    std::string worst_;
    double arrived_ = 0;
    double allowed_ = 0;
    std::map<size_t, size_t> arrivals_; ///< By target.
};

} // namespace saltvane::fleet::test
