/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/targetset.h"

#include <map>

namespace saltvane::gateway {

/// How much of each service's requests this gateway keeps in its own region. Large answers: a share that follows the
/// load of the region's targets, but never faster than the shift cap allows; only the loss of targets moves it at once.
/// Small ones: a weight that follows the targets' slots alone, so that objects stay where they are warm when load
/// moves.
class RegionSplit {
public:
    explicit RegionSplit(double shiftCap);

    void install(const model::RoutePlan& plan);
    /// Moves every service's share by what its targets' load asks for.
    void tick(const TargetSet& targets, Timestamp now);
    /// Share of large requests, by object, that stay in the region: 1 where nothing is known of the service.
    [[nodiscard]] double homeShare(const ServiceName& service) const;
    /// How many times more a slot of the region weighs than one elsewhere when a small request's target is chosen.
    [[nodiscard]] double homeWeight(const ServiceName& service) const;
    /// Requests went to this service: its share is not free to jump any more.
    void noteUsed(const ServiceName& service);

private:
    struct State {
        double share = 1;
        double homeWeight = 1;
        double homeSlots = 0;
        bool isUsed = false;
    };
    static void move(State& state, const ServiceRoom& room, double largestStep);
    [[nodiscard]] static double weightOf(const ServiceRoom& room);

    double stepPerSecond_;
    std::vector<ServiceName> services_; ///< Of the plan in force.
    std::map<ServiceName, State> states_;
    Timestamp movedAt_ {};
};

} // namespace saltvane::gateway
