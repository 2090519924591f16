/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/targetset.h"

#include <map>

namespace saltvane::gateway {

/// Divides each service's requests between this gateway's region and the others. Large responses use a share that
/// follows the load of the region's targets, but no faster than the shift cap allows; only a loss of targets changes it
/// at once. Small responses use a weight that follows the targets' slots alone, so that objects stay where they are
/// warm when the load moves.
class RegionSplit {
public:
    explicit RegionSplit(double shiftCap);

    void install(const model::RoutePlan& plan);
    /// Adjusts every service's share to the load of its targets.
    void tick(const TargetSet& targets, Timestamp now);
    /// Share of large requests, by object, that stay in the region: 1 for an unknown service.
    [[nodiscard]] double localShare(const ServiceName& service) const;
    /// Weight of a slot in the region relative to a slot elsewhere, for the target selection of small requests.
    [[nodiscard]] double localWeight(const ServiceName& service) const;
    /// Requests were sent to this service: from now on its share is subject to the shift cap.
    void recordUse(const ServiceName& service);

private:
    struct State {
        double share = 1;
        double localWeight = 1;
        double localSlots = 0;
        bool isUsed = false;
    };
    static void move(State& state, const ServiceCapacity& capacity, double maxStep);
    [[nodiscard]] static double weightOf(const ServiceCapacity& capacity);

    double stepPerSecond_;
    std::vector<ServiceName> services_; ///< Services of the plan in force.
    std::map<ServiceName, State> states_;
    Timestamp movedAt_ {};
};

} // namespace saltvane::gateway
