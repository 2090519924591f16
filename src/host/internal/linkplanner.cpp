/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/linkplanner.h"

#include <algorithm>
#include <map>
#include <utility>

namespace saltvane::host {

LinkPlanner::LinkPlanner(const HostModules& modules, Outbox& outbox)
    : modules_(modules)
    , outbox_(outbox)
{
}

void LinkPlanner::update(const std::set<HostId>& ownerHosts)
{
    std::vector<DesiredLinks::Peer> peers = wantedPeers(ownerHosts);
    if (hasEmitted_ && peers == lastPeers_)
        return;
    hasEmitted_ = true;
    lastPeers_ = peers;
    outbox_.add(Action(DesiredLinks {std::move(peers)}));
}

std::vector<DesiredLinks::Peer> LinkPlanner::wantedPeers(const std::set<HostId>& ownerHosts) const
{
    std::map<HostId, model::Address> knownHosts;
    std::set<model::Address> addresses;
    std::vector<model::Address> seeds;
    for (const settings::ControlHost& control : modules_.options.settings.controlHosts)
        knownHosts.try_emplace(control.host, control.linkAddress);
    for (const membership::IHostTable::Peer& peer : modules_.hostTable->wantedPeers()) {
        if (peer.host.isEmpty())
            seeds.push_back(peer.linkAddress);
        else
            knownHosts.insert_or_assign(peer.host, peer.linkAddress);
    }
    for (const HostId& owner : ownerHosts) {
        if (const membership::HostView* view = modules_.hostTable->find(owner))
            knownHosts.insert_or_assign(owner, view->record.linkAddress);
    }
    knownHosts.erase(modules_.self.host);
    std::vector<DesiredLinks::Peer> peers;
    addresses.insert(modules_.self.linkAddress);
    for (const auto& [host, address] : knownHosts) {
        peers.push_back({host, address});
        addresses.insert(address);
    }
    for (const model::Address& seed : seeds) {
        if (addresses.insert(seed).second)
            peers.push_back({HostId {}, seed});
    }
    std::sort(peers.begin(), peers.end());
    return peers;
}

} // namespace saltvane::host
