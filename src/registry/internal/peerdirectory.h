/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/peermessages.h"
#include "registry/internal/targettable.h"

#include <map>
#include <span>
#include <vector>

namespace saltvane::registry {

/// Selects for each gateway the gateways that may carry its requests when it reaches no target. Each gateway is
/// selected for few others, so that none carries the requests of a whole zone.
class PeerDirectory {
public:
    /// `serving`: the gateways to select from, sorted by host.
    void update(std::vector<model::PeerRecord> serving);
    /// Two of its zone, two of other zones of its region, and one of each other region.
    [[nodiscard]] std::vector<model::PeerRecord> peersOf(const HostLocation& gateway) const;

private:
    using Zones = std::map<ZoneName, std::vector<model::PeerRecord>>;

    static void addOfRegion(std::vector<model::PeerRecord>& peers, const Zones& zones, const HostLocation& gateway);
    /// The next zone in order of their names; after the last the first follows.
    [[nodiscard]] static Zones::const_iterator zoneAfter(const Zones& zones, const ZoneName& zone);

    std::map<RegionName, Zones> regions_;
};

} // namespace saltvane::registry
