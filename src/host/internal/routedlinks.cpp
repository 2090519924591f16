/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/routedlinks.h"

#include <utility>

namespace saltvane::host {

std::vector<HostId> hostIdsFromAddresses(std::span<const model::Address> addresses)
{
    std::vector<HostId> hosts;
    for (const model::Address& address : addresses)
        hosts.emplace_back(toString(address));
    return hosts;
}

model::HostRecord makeRoutedHostRecord(const settings::RoutedHostSettings& settings, Incarnation incarnation)
{
    return {
        .host = settings.host(),
        .incarnation = incarnation,
        .zone = settings.zone,
        .region = settings.region,
        .linkAddress = settings.linkAddress,
    };
}

std::optional<DesiredLinks> RoutedLinks::update(std::vector<HostId> hosts)
{
    if (hosts == hosts_)
        return std::nullopt;
    hosts_ = std::move(hosts);
    DesiredLinks wanted;
    for (const HostId& host : hosts_) {
        if (const auto address = model::parseAddress(host.value()))
            wanted.peers.push_back({.host = host, .address = *address});
    }
    return wanted;
}

} // namespace saltvane::host
