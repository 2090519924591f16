/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/ihosttable.h"

#include <map>
#include <set>

namespace saltvane::membership {

/// Keeps each host with the time of its last heartbeat; see docs/design/0005-membership.md.
class HostTable final : public IHostTable {
public:
    explicit HostTable(const HostTableOptions& options);

    void setOwnRecord(model::HostRecord record) override;
    bool handle(const HostId& from, const model::Heartbeat& heartbeat, Timestamp now) override;
    bool handle(const HostId& from, const model::ZoneReport& report, Timestamp now) override;
    void onLinkUp(const HostId& host, Timestamp now) override;
    void onLinkDown(const HostId& host, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing() override;

    [[nodiscard]] const HostView* find(const HostId& host) const override;
    [[nodiscard]] std::vector<const HostView*> hosts() const override;
    [[nodiscard]] std::vector<model::HostRecord> servingHosts(const ZoneName& zone) const override;
    [[nodiscard]] HostId relayOf(const ZoneName& zone) const override;
    [[nodiscard]] bool isRelay() const override;
    [[nodiscard]] std::vector<Peer> wantedPeers() const override;

private:
    struct Entry {
        HostView view;
        Timestamp lastHeartbeatAt {}; ///< Time of its last heartbeat by this host's clock; a reported one counts from
                                      ///< its sending.
        Timestamp lastFullReplyAt {}; ///< When it was last sent all known records.
        bool isLinkDown = false; ///< Until the next heartbeat.
        bool wasReceivedDirectly = false; ///< A heartbeat was received from the host itself.
    };
    using Entries = std::map<HostId, Entry>;

    bool apply(const model::HostRecord& record, Timestamp lastHeartbeatAt, bool isDirect, Timestamp now);
    bool applyReported(const model::HostRecord& record, Duration age, Timestamp now);
    void updateHealth(Entry& entry, Timestamp now);
    [[nodiscard]] HostHealth healthAt(const Entry& entry, Timestamp now) const;
    [[nodiscard]] bool isZonePeer(const Entry& entry) const;
    void eraseExpired(Timestamp now);

    void sendHeartbeats(Timestamp now);
    void sendReports(Timestamp now);
    void forwardReports(Timestamp now);
    void sendAllRecords(const HostId& to, Timestamp now);
    void send(const HostId& to, model::Message message);
    [[nodiscard]] model::HostRecord nextOwnRecord();
    [[nodiscard]] model::ZoneReport reportOf(const ZoneName& zone, Timestamp now);
    [[nodiscard]] std::set<ZoneName> knownZones() const;
    [[nodiscard]] std::set<HostId> zonePeers() const;
    [[nodiscard]] std::set<HostId> contactsOf(const ZoneName& zone) const;
    [[nodiscard]] std::set<HostId> remoteContacts() const;
    [[nodiscard]] bool isKnownAddress(const model::Address& address) const;
    void count(model::Counter counter) const;

    HostTableOptions options_;
    model::HostRecord own_;
    Entries entries_;
    std::map<ZoneName, HostId> reporters_; ///< The host that last sent the report of its own zone, for each other zone.
    std::set<ZoneName> zonesToForward_;
    std::set<HostId> linkedHosts_;
    bool hasOwnZoneReport_ = false; ///< A report of this host's zone was received.
    Timestamp nextHeartbeatAt_ {};
    Timestamp nextReportAt_ {};
    Timestamp nextDiscoveryAt_ {};
    std::vector<model::OutgoingMessage> outgoing_;
};

} // namespace saltvane::membership
