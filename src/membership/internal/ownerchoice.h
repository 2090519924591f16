/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/itargetdirectory.h"

#include <map>

namespace saltvane::membership {

/// A host that may own a target.
struct OwnerCandidate {
    HostId host;
    Incarnation incarnation;
    model::Address entryAddress;
    uint32_t load = 0; ///< Number of targets of the service that it owns or is about to own.
};

/// Chooses owners by load among the serving hosts of a target's zone or, if the zone has none, of its region.
class OwnerChoice {
public:
    explicit OwnerChoice(const TargetDirectoryOptions& options);

    /// Hosts other than this one that may own the target, by id.
    [[nodiscard]] std::vector<OwnerCandidate> others(const Announcement& announcement, Timestamp now) const;
    /// The least loaded of them; ties by id.
    [[nodiscard]] std::optional<OwnerCandidate> leastLoaded(const Announcement& announcement, Timestamp now) const;
    /// The host whose record lists the target as owned, and which so may still reach a former process of it; null if
    /// there is none.
    [[nodiscard]] const HostView* claimant(const Announcement& announcement) const;
    /// True if this host is among those that may own the target.
    [[nodiscard]] bool isSuitable(const Announcement& announcement) const;
    /// The host that should own a target without an owner; nullopt if this host should take it.
    [[nodiscard]] std::optional<OwnerCandidate> chooseOther(
        const Announcement& announcement, uint32_t ownLoad, Timestamp now) const;
    /// Adds the target to the load of the host until its heartbeats can show it.
    void recordAssignment(const TargetId& target, const ServiceName& service, const HostId& host, Timestamp now);
    /// The host did not answer a hand-over: it is no candidate for a while.
    void markUnresponsive(const HostId& host, Timestamp now);
    void tick(Timestamp now);

private:
    struct Assignment {
        HostId host;
        ServiceName service;
        Timestamp expiresAt {};
    };

    [[nodiscard]] std::vector<model::HostRecord> suitableHosts(const ZoneName& zone) const;
    [[nodiscard]] RegionName regionOf(const ZoneName& zone) const;
    [[nodiscard]] uint32_t loadOf(const model::HostRecord& record, const ServiceName& service, Timestamp now) const;

    HostIdentity self_;
    const IHostTable* hosts_;
    uint32_t allowedImbalance_;
    std::map<TargetId, Assignment> recentAssignments_;
    std::map<HostId, Timestamp> unresponsiveUntil_;
};

} // namespace saltvane::membership
