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

/// Another host as last heard of.
struct RosterEntry {
    model::HostRecord record;
    Timestamp heardAt; ///< Its own last heartbeat, or another host's word of it.
};

/// The hosts of a deployment that nobody lists: every host reports to all control hosts it knows, first to the seeds,
/// and learns of further control hosts from them. docs/design/0010-platform.md
class IHostRoster {
public:
    virtual ~IHostRoster() = default;

    /// Heartbeat and ZoneReport.
    virtual void handle(const model::Delivery& delivery, Timestamp now) = 0;
    /// A link stands with this start of the host: records of its other starts are void, whatever their numbers.
    virtual void noteLinkUp(const HostId& host, Incarnation incarnation) = 0;
    virtual void setSeeds(std::vector<HostId> seeds) = 0;
    /// Told at once to all when it changed.
    virtual void setState(model::HostState state) = 0;
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<model::Outgoing> takeOutgoing() = 0;

    /// Control hosts to keep links with, seeds included; sorted.
    [[nodiscard]] virtual std::vector<HostId> controlHosts() const = 0;
    /// Those of them that this host tells everything often: of its own region, and any whose region it doesn't know.
    /// All of them where its region has none.
    [[nodiscard]] virtual std::vector<HostId> nearControlHosts() const = 0;
    /// Hosts heard of within `age`, sorted by id; never this host itself.
    [[nodiscard]] virtual std::vector<const RosterEntry*> heardWithin(Duration age, Timestamp now) const = 0;
    [[nodiscard]] virtual const RosterEntry* find(const HostId& host) const = 0;
};

struct HostRosterOptions {
    model::HostRecord self;
    std::vector<HostId> seeds;
    Duration heartbeatPeriod = 300ms;
    /// To control hosts of other regions, where this host is none itself: bytes between regions are few and dear, and
    /// callers ask the control hosts near them first.
    Duration farHeartbeatPeriod = 1200ms;
    Duration reportPeriod = 1s; ///< Of a control host's word about the other control hosts, within its region.
    Duration farReportPeriod = 5s; ///< To other regions. A new control host is told at once to all.
    Duration memory = 10s; ///< A control host that is silent for so long is not dialled any more; seeds always are.
};

[[nodiscard]] std::unique_ptr<IHostRoster> makeHostRoster(HostRosterOptions options);

} // namespace saltvane::membership
