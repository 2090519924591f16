/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/message.h"

#include <memory>
#include <vector>

namespace saltvane::membership {

/// The last known state of another host.
struct RosterEntry {
    model::HostRecord record;
    Timestamp lastReceivedAt; ///< Time of its last heartbeat, as received here or reported by another host.
};

/// The hosts of a deployment, which are configured nowhere: every host reports to all control hosts that it knows, at
/// first the seeds, and learns of further control hosts from them. docs/design/0010-platform.md
class IHostRoster {
public:
    virtual ~IHostRoster() = default;

    /// Handles Heartbeat and ZoneReport; ignores other messages.
    virtual void handle(const model::Delivery& delivery, Timestamp now) = 0;
    /// A link to this incarnation of the host is up: records of its other incarnations are void, even of higher ones.
    virtual void onLinkUp(const HostId& host, Incarnation incarnation) = 0;
    virtual void setSeeds(std::vector<HostId> seeds) = 0;
    /// A change is reported to all known control hosts at once.
    virtual void setState(model::HostState state) = 0;
    /// The same, of whether this gateway is isolated from all targets.
    virtual void setIsolated(bool isIsolated) = 0;
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<model::OutgoingMessage> drainOutgoing() = 0;

    /// Control hosts to keep links to, including the seeds; sorted.
    [[nodiscard]] virtual std::vector<HostId> controlHosts() const = 0;
    /// The control hosts that this host reports to at the short interval: those in its own region and those whose
    /// region is not known yet; all of them if its region has none.
    [[nodiscard]] virtual std::vector<HostId> sameRegionControlHosts() const = 0;
    /// Hosts with a heartbeat within `age`, sorted by id; never this host itself.
    [[nodiscard]] virtual std::vector<const RosterEntry*> receivedWithin(Duration age, Timestamp now) const = 0;
    [[nodiscard]] virtual const RosterEntry* find(const HostId& host) const = 0;
};

struct HostRosterOptions {
    model::HostRecord self;
    std::vector<HostId> seeds;
    Duration heartbeatInterval = 300ms;
    /// Interval to control hosts of other regions, unless this host is a control host itself: bandwidth between regions
    /// is scarce and expensive, and callers query the control hosts of their own region first.
    Duration otherRegionHeartbeatInterval = 1200ms;
    Duration reportInterval = 1s; ///< Between a control host's reports of the other control hosts, within its region.
    Duration otherRegionReportInterval = 5s; ///< To other regions. A new control host is reported to all hosts at once.
    Duration memory = 10s; ///< A control host without heartbeats for this long is no longer dialled; seeds always are.
};

[[nodiscard]] std::unique_ptr<IHostRoster> makeHostRoster(HostRosterOptions options);

} // namespace saltvane::membership
