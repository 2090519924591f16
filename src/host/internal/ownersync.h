/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/hostmodules.h"

#include <set>
#include <vector>

namespace saltvane::host {

/// Updates the credit store's list of owners and the credit issuer's capacity of this host's own targets.
class OwnerSync {
public:
    /// `modules` must outlive the object.
    explicit OwnerSync(HostModules& modules);
    void updateCapacities(Timestamp now);
    void updateOwners(Timestamp now);
    /// Other hosts that own targets with usable capacity now.
    [[nodiscard]] const std::set<HostId>& ownerHosts() const { return ownerHosts_; }

private:
    void addOwner(const model::HostRecord& record);

    HostModules& modules_;
    std::set<ServiceName> servicesWithCapacity_;
    std::set<HostId> ownerHosts_;
    std::vector<membership::ICreditStore::Owner> owners_;
};

} // namespace saltvane::host
