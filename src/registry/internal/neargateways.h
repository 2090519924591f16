/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/ihostroster.h"
#include "registry/internal/targetbook.h"

#include <span>
#include <vector>

namespace saltvane::registry {

/// The gateways that hear sums of loads from this registry host: those to which it is the nearest one that lives.
/// Worked out anew only where a host came or went.
class NearGateways {
public:
    explicit NearGateways(Gateway self);

    [[nodiscard]] const std::vector<HostId>& update(
        std::span<const Gateway> registryHosts, std::span<const Gateway> gateways);

private:
    [[nodiscard]] bool isNearestTo(const Gateway& gateway) const;

    Gateway self_;
    std::vector<Gateway> registryHosts_;
    std::vector<Gateway> gateways_;
    std::vector<HostId> near_;
};

} // namespace saltvane::registry
