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
    virtual void noteLinkUp(const HostId& host, Timestamp now) = 0;
    virtual void setSeeds(std::vector<HostId> seeds) = 0;
    /// Told at once to all when it changed.
    virtual void setState(model::HostState state) = 0;
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<model::Outgoing> takeOutgoing() = 0;

    /// Control hosts to keep links with, seeds included; sorted.
    [[nodiscard]] virtual std::vector<HostId> controlHosts() const = 0;
    /// Hosts heard of within `age`, sorted by id; never this host itself.
    [[nodiscard]] virtual std::vector<const RosterEntry*> heardWithin(Duration age, Timestamp now) const = 0;
    [[nodiscard]] virtual const RosterEntry* find(const HostId& host) const = 0;
};

struct HostRosterOptions {
    model::HostRecord self;
    std::vector<HostId> seeds;
    Duration heartbeatPeriod = 300ms;
    Duration reportPeriod = 1s; ///< Of a control host's word about the other control hosts.
    Duration memory = 10s; ///< A control host that is silent for so long is not dialled any more; seeds always are.
};

[[nodiscard]] std::unique_ptr<IHostRoster> makeHostRoster(HostRosterOptions options);

} // namespace saltvane::membership
