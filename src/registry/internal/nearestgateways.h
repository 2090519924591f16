/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/ihostroster.h"
#include "registry/internal/targettable.h"

#include <span>
#include <vector>

namespace saltvane::registry {

/// The gateways that receive load sums from this registry host: those to which it is the nearest live registry host.
/// Recomputed only when a registry host or gateway appears or disappears.
class NearestGateways {
public:
    explicit NearestGateways(HostLocation self);

    [[nodiscard]] const std::vector<HostId>& update(
        std::span<const HostLocation> registryHosts, std::span<const HostLocation> gateways);

private:
    [[nodiscard]] bool isNearestTo(const HostLocation& gateway) const;

    HostLocation self_;
    std::vector<HostLocation> registryHosts_;
    std::vector<HostLocation> gateways_;
    std::vector<HostId> nearest_;
};

} // namespace saltvane::registry
