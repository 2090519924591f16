/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/nearestgateways.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace saltvane::registry {

namespace {

/// Higher is nearer. The hash distributes the gateways over registry hosts at the same distance.
std::pair<int, size_t> rankOf(const HostLocation& host, const HostLocation& gateway)
{
    const int proximity = host.zone == gateway.zone ? 2 : static_cast<int>(host.region == gateway.region);
    return {proximity, std::hash<std::string> {}(host.host.value() + gateway.host.value())};
}

} // namespace

NearestGateways::NearestGateways(HostLocation self)
    : self_(std::move(self))
{
}

const std::vector<HostId>& NearestGateways::update(
    std::span<const HostLocation> registryHosts, std::span<const HostLocation> gateways)
{
    if (std::ranges::equal(registryHosts, registryHosts_) && std::ranges::equal(gateways, gateways_))
        return nearest_;
    registryHosts_.assign(registryHosts.begin(), registryHosts.end());
    gateways_.assign(gateways.begin(), gateways.end());
    nearest_.clear();
    for (const HostLocation& gateway : gateways_) {
        if (isNearestTo(gateway))
            nearest_.push_back(gateway.host);
    }
    return nearest_;
}

bool NearestGateways::isNearestTo(const HostLocation& gateway) const
{
    const auto own = rankOf(self_, gateway);
    return std::ranges::none_of(
        registryHosts_, [&](const HostLocation& other) { return rankOf(other, gateway) > own; });
}

} // namespace saltvane::registry
