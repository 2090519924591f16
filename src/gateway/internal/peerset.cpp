/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/peerset.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace saltvane::gateway {

namespace {

bool isPermitted(std::span<const RegionName> regions, const RegionName& region)
{
    return regions.empty() || std::ranges::find(regions, region) != regions.end();
}

} // namespace

PeerSet::PeerSet(Location location)
    : location_(std::move(location))
{
}

void PeerSet::applyReport(const model::PeerReport& report)
{
    std::vector<Peer> peers;
    for (const model::PeerRecord& record : report.peers) {
        const Peer* known = find(record.host);
        peers.push_back(known == nullptr ? Peer {} : *known);
        peers.back().record = record;
    }
    peers_ = std::move(peers);
}

int PeerSet::distanceTo(const Peer& peer) const
{
    if (peer.record.region != location_.region)
        return 2;
    return peer.record.zone == location_.zone ? 0 : 1;
}

Peer* PeerSet::choose(const Query& query, Timestamp now)
{
    Peer* best = nullptr;
    for (Peer& peer : peers_) {
        const RegionName& region = peer.record.region;
        if (now < peer.unavailableUntil
            || std::ranges::find(query.attempted, peer.record.host) != query.attempted.end())
            continue;
        if (!isPermitted(query.routeRegions, region) || !isPermitted(query.accountRegions, region))
            continue;
        const auto costOf
            = [&](const Peer& candidate) { return std::tuple(distanceTo(candidate), candidate.inFlight); };
        if (best == nullptr || costOf(peer) < costOf(*best))
            best = &peer;
    }
    return best;
}

Peer* PeerSet::find(const HostId& host)
{
    const auto found = std::ranges::find(peers_, host, [](const Peer& peer) { return peer.record.host; });
    return found == peers_.end() ? nullptr : &*found;
}

} // namespace saltvane::gateway
