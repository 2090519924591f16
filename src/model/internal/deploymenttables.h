/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/deployment.h"
#include "model/internal/prefixtable.h"

namespace saltvane::model {

/// Lookup tables of Deployment. Zones, regions and services are indexed by their order in the bundle.
struct Deployment::Tables {
    explicit Tables(const Bundle& bundle);

    std::unordered_map<ZoneName, ZoneIndex> zones;
    std::unordered_map<RegionName, RegionIndex> regions;
    std::unordered_map<ServiceName, ServiceIndex> services;
    std::vector<RegionIndex> zoneRegions;
    std::vector<double> openShares; ///< Matrix of service and zone.
    std::vector<Duration> regionDelays; ///< Matrix of region pairs; see regionPair().
    std::vector<ZoneIndex> zonesByDelay; ///< For each region, all zones ordered by delay.
    std::vector<std::optional<uint32_t>> linkLimits; ///< Matrix of region pairs; see regionPair().
    PrefixTable ipv4Clients;
    PrefixTable ipv6Clients;

    /// Index of the pair in the matrices of region pairs.
    [[nodiscard]] size_t regionPair(RegionIndex from, RegionIndex to) const;

private:
    void fillZoneRegions(const Bundle& bundle);
    void fillOpenShares(const Bundle& bundle);
    void fillRegionDelays(const Bundle& bundle);
    void fillZonesByDelay();
    void fillLinkLimits(const Bundle& bundle);
};

} // namespace saltvane::model
