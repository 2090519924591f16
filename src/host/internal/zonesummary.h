/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/hostmodules.h"

#include <set>
#include <vector>

namespace saltvane::host {

/// Usable capacity by zone and demand by client region, summed from the live hosts' records for steering.
class ZoneSummary {
public:
    /// Recomputes the sums; `modules` must have a deployment.
    void update(const HostModules& modules);
    [[nodiscard]] const std::vector<steering::ZoneRoom>& rooms() const { return rooms_; }
    [[nodiscard]] const std::vector<steering::RegionDemand>& demands() const { return demands_; }
    /// Services with demand at other hosts.
    [[nodiscard]] const std::set<ServiceIndex>& servedElsewhere() const { return servedElsewhere_; }
    [[nodiscard]] std::vector<ZoneStatus> statuses(const model::Deployment& deployment) const;

private:
    void addRooms(const model::Deployment& deployment, const model::HostRecord& record);
    void addDemands(const model::Deployment& deployment, const model::HostRecord& record);

    HostId ownHost_;
    std::vector<steering::ZoneRoom> rooms_; ///< A row per service and zone.
    std::set<ServiceIndex> servedElsewhere_;
    std::vector<steering::RegionDemand> demands_; ///< A row per service and region.
};

} // namespace saltvane::host
