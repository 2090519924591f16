/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/membershiptypes.h"
#include "model/counters.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace saltvane::membership {

/// Known hosts and their health: by heartbeats within this zone, by the reports of their relays in other zones.
/// docs/design/0005-membership.md
class IHostTable {
public:
    virtual ~IHostTable() = default;

    /// Sets the record of the next heartbeats of this host; identity and sequence are filled in.
    virtual void setOwnRecord(model::HostRecord record) = 0;
    /// Both return false if the message brought nothing newer.
    virtual bool handle(const HostId& from, const model::Heartbeat& heartbeat, Timestamp now) = 0;
    virtual bool handle(const HostId& from, const model::ZoneReport& report, Timestamp now) = 0;
    /// A link to the host is up. A host not known yet is sent a heartbeat, so that both sides learn of each other.
    virtual void onLinkUp(const HostId& /*host*/, Timestamp /*now*/) { }
    /// The link to a host is down: the host is suspected at once, but removed only after its timeout.
    virtual void onLinkDown(const HostId& host, Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;
    /// Returns the heartbeats and reports to send since the last call.
    [[nodiscard]] virtual std::vector<model::OutgoingMessage> drainOutgoing() = 0;

    [[nodiscard]] virtual const HostView* find(const HostId& host) const = 0;
    /// All known hosts except this one, by id; dead ones are removed after a timeout.
    [[nodiscard]] virtual std::vector<const HostView*> hosts() const = 0;
    /// Hosts of a zone that are alive and serving, by id, including this one. Only these offer capacity: the record of
    /// a suspected host is kept, but its capacity no longer counts.
    [[nodiscard]] virtual std::vector<model::HostRecord> servingHosts(const ZoneName& zone) const = 0;
    [[nodiscard]] virtual HostId relayOf(
        const ZoneName& zone) const = 0; ///< The lowest id of its hosts that are alive; empty if there is none.
    [[nodiscard]] virtual bool isRelay() const = 0;
    /// A host to keep a link to: a zone peer, a relay if this host is one, a control host, or a seed not known yet.
    struct Peer {
        HostId host; ///< Empty for a seed whose id is not known yet.
        model::Address linkAddress;
    };
    [[nodiscard]] virtual std::vector<Peer> wantedPeers() const = 0;
};

struct HostTableOptions {
    HostIdentity self;
    std::vector<model::Address> seeds; ///< Link addresses.
    Duration heartbeatInterval = 200ms;
    Duration reportInterval = 200ms;
    Duration suspectTimeout = 700ms;
    Duration deadTimeout = 3s;
    Duration removeTimeout = 60s;
    model::Counters* counters = nullptr;
};

[[nodiscard]] std::unique_ptr<IHostTable> makeHostTable(const HostTableOptions& options);

} // namespace saltvane::membership
