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
std::pair<int, size_t> rankOf(const Gateway& host, const Gateway& gateway)
{
    const int proximity = host.zone == gateway.zone ? 2 : static_cast<int>(host.region == gateway.region);
    return {proximity, std::hash<std::string> {}(host.host.value() + gateway.host.value())};
}

} // namespace

NearestGateways::NearestGateways(Gateway self)
    : self_(std::move(self))
{
}

const std::vector<HostId>& NearestGateways::update(
    std::span<const Gateway> registryHosts, std::span<const Gateway> gateways)
{
    if (std::ranges::equal(registryHosts, registryHosts_) && std::ranges::equal(gateways, gateways_))
        return nearest_;
    registryHosts_.assign(registryHosts.begin(), registryHosts.end());
    gateways_.assign(gateways.begin(), gateways.end());
    nearest_.clear();
    for (const Gateway& gateway : gateways_) {
        if (isNearestTo(gateway))
            nearest_.push_back(gateway.host);
    }
    return nearest_;
}

bool NearestGateways::isNearestTo(const Gateway& gateway) const
{
    const auto own = rankOf(self_, gateway);
    return std::ranges::none_of(registryHosts_, [&](const Gateway& other) { return rankOf(other, gateway) > own; });
}

} // namespace saltvane::registry
