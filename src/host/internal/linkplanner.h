/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/hostmodules.h"
#include "host/internal/outbox.h"

#include <set>
#include <vector>

namespace saltvane::host {

/// Computes the links that this host needs: to the peers of membership, to owners that it may send requests to and to
/// the control hosts.
class LinkPlanner {
public:
    /// Both must outlive the object.
    LinkPlanner(const HostModules& modules, Outbox& outbox);
    /// Emits the set of links when it has changed.
    void update(const std::set<HostId>& ownerHosts);

private:
    [[nodiscard]] std::vector<DesiredLinks::Peer> wantedPeers(const std::set<HostId>& ownerHosts) const;

    const HostModules& modules_;
    Outbox& outbox_;
    std::vector<DesiredLinks::Peer> lastPeers_;
    bool hasEmitted_ = false;
};

} // namespace saltvane::host
