/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/peerdirectory.h"

#include <algorithm>

namespace saltvane::registry {

namespace {

constexpr size_t PeersOfZone = 2;
constexpr size_t PeersOfOtherZones = 2;

/// Appends up to `count` of the gateways that follow `host` in order of their ids; after the last the first follows.
void addFollowing(
    std::vector<model::PeerRecord>& peers, std::span<const model::PeerRecord> sorted, const HostId& host, size_t count)
{
    const auto next = std::ranges::upper_bound(sorted, host, {}, &model::PeerRecord::host);
    const auto first = static_cast<size_t>(next - sorted.begin());
    for (size_t i = 0; i < sorted.size() && count > 0; ++i) {
        const model::PeerRecord& record = sorted[(first + i) % sorted.size()];
        if (record.host == host)
            continue;
        peers.push_back(record);
        --count;
    }
}

} // namespace

void PeerDirectory::update(std::vector<model::PeerRecord> serving)
{
    regions_.clear();
    for (model::PeerRecord& record : serving)
        regions_[record.region][record.zone].push_back(std::move(record));
}

std::vector<model::PeerRecord> PeerDirectory::peersOf(const HostLocation& gateway) const
{
    std::vector<model::PeerRecord> peers;
    const auto own = regions_.find(gateway.region);
    if (own != regions_.end())
        addOfRegion(peers, own->second, gateway);
    for (const auto& [region, zones] : regions_) {
        if (region != gateway.region)
            addFollowing(peers, zoneAfter(zones, gateway.zone)->second, gateway.host, 1);
    }
    return peers;
}

void PeerDirectory::addOfRegion(std::vector<model::PeerRecord>& peers, const Zones& zones, const HostLocation& gateway)
{
    if (const auto own = zones.find(gateway.zone); own != zones.end())
        addFollowing(peers, own->second, gateway.host, PeersOfZone);
    const size_t limit = peers.size() + PeersOfOtherZones;
    auto zone = zoneAfter(zones, gateway.zone);
    for (size_t i = 0; i < zones.size() && peers.size() < limit; ++i, zone = zoneAfter(zones, zone->first)) {
        if (zone->first != gateway.zone)
            addFollowing(peers, zone->second, gateway.host, limit - peers.size());
    }
}

PeerDirectory::Zones::const_iterator PeerDirectory::zoneAfter(const Zones& zones, const ZoneName& zone)
{
    const auto next = zones.upper_bound(zone);
    return next == zones.end() ? zones.begin() : next;
}

} // namespace saltvane::registry
