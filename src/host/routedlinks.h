/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/hosttypes.h"
#include "settings/routedhostsettings.h"

#include <optional>
#include <span>
#include <vector>

/// Links of hosts whose ids are their link addresses (roles gateway and registry).
namespace saltvane::host {

[[nodiscard]] std::vector<HostId> hostIdsFromAddresses(std::span<const model::Address> addresses);

/// The common part of a gateway's or registry host's own record; the caller adds role, entry address and state.
[[nodiscard]] model::HostRecord makeRoutedHostRecord(
    const settings::RoutedHostSettings& settings, Incarnation incarnation);

/// Requests links to a set of hosts each time the set changes.
class RoutedLinks {
public:
    /// The action to carry out; no value where the set is unchanged.
    [[nodiscard]] std::optional<DesiredLinks> update(std::vector<HostId> hosts);

private:
    std::vector<HostId> hosts_;
};

} // namespace saltvane::host
