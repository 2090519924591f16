/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/ihosttable.h"
#include "membership/membershiptypes.h"
#include "model/counters.h"

#include <memory>
#include <vector>

namespace saltvane::membership {

/// Leases of targets by their owners. Two hosts never own one target at the same time. docs/design/0001
class ITargetDirectory {
public:
    virtual ~ITargetDirectory() = default;

    /// Handles an announcement and answers who owns the target. Takes ownership only if no other lease can be in force.
    [[nodiscard]] virtual AnnouncementAnswer announce(const Announcement& announcement, Timestamp now) = 0;
    virtual void handle(const HostId& from, const model::OwnershipHandover& handover, Timestamp now) = 0;
    virtual void handle(const HostId& from, const model::HandoverProgress& progress, Timestamp now) = 0;
    /// Updates the requests in flight and the slow-start limit of a target, as counted by the pool, for hand-overs; for
    /// a lost target too, until its last request has completed. To be called after the changes were applied and before
    /// drainOutgoing().
    virtual void recordUse(const TargetId& target, uint32_t inFlight, uint32_t concurrencyLimit) = 0;
    /// Planned stop: hands over all targets and takes no more.
    virtual void startLeaving(Timestamp now) = 0;
    /// True once all targets are handed over, except those that no other host can take.
    [[nodiscard]] virtual bool hasHandedOverAll() const = 0;
    /// Expires leases; after a process stall it must run before the next dispatch.
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<TargetChange> drainChanges() = 0;
    [[nodiscard]] virtual std::vector<model::OutgoingMessage> drainOutgoing() = 0;
    [[nodiscard]] virtual std::vector<TargetId> ownedTargets() const = 0;
};

struct TargetDirectoryOptions {
    HostIdentity self;
    const IHostTable* hosts = nullptr; ///< Must outlive the directory.
    Duration lease = 2s;
    Duration leaseGuard
        = 200ms; ///< Waited after the end of another host's lease, for clocks that run at different rates.
    Duration announceInterval = 500ms;
    Duration progressInterval = 20ms; ///< Between repetitions of a hand-over and between queries of its progress.
    Duration handoverTimeout = 300ms; ///< Without an answer in this time the target stays at this host.
    Duration reportedUseTimeout
        = 5s; ///< How long the busy slots reported by a target may stand in for the requests of a lost owner.
    /// Difference in targets of a service to the least loaded zone peer at which a target is handed over; at least 2.
    uint32_t allowedImbalance = 2;
    model::Counters* counters = nullptr;
};

[[nodiscard]] std::unique_ptr<ITargetDirectory> makeTargetDirectory(const TargetDirectoryOptions& options);

} // namespace saltvane::membership
