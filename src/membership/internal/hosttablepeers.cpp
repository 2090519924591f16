/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/internal/hosttable.h"

#include <algorithm>
#include <utility>

/// Messages and peers of the host table.
namespace saltvane::membership {

namespace {
/// Interval at which a relay sends the report of its zone to the hosts of that zone, so that they find each other.
constexpr Duration DiscoveryInterval = 1s;
} // namespace

void HostTable::sendHeartbeats(Timestamp now)
{
    if (now < nextHeartbeatAt_)
        return;
    nextHeartbeatAt_ = now + options_.heartbeatInterval;
    std::set<HostId> receivers = zonePeers();
    for (const HostId& host : linkedHosts_) {
        if (!hasOwnZoneReport_ || !entries_.contains(host))
            receivers.insert(host);
    }
    const model::HostRecord record = nextOwnRecord();
    for (const HostId& host : receivers)
        send(host, model::Heartbeat {record});
}

void HostTable::sendReports(Timestamp now)
{
    if (now < nextReportAt_)
        return;
    nextReportAt_ = now + options_.reportInterval;
    if (!isRelay())
        return;
    const model::ZoneReport report = reportOf(options_.self.zone, now);
    for (const HostId& host : remoteContacts())
        send(host, report);
    if (now < nextDiscoveryAt_)
        return;
    nextDiscoveryAt_ = now + DiscoveryInterval;
    for (const HostId& host : zonePeers())
        send(host, report);
}

void HostTable::forwardReports(Timestamp now)
{
    const std::set<ZoneName> zones = std::exchange(zonesToForward_, {});
    if (!isRelay())
        return;
    const std::set<HostId> peers = zonePeers();
    for (const ZoneName& zone : zones) {
        const model::ZoneReport report = reportOf(zone, now);
        for (const HostId& host : peers)
            send(host, report);
    }
}

void HostTable::sendAllRecords(const HostId& to, Timestamp now)
{
    send(to, model::Heartbeat {nextOwnRecord()});
    for (const ZoneName& zone : knownZones())
        send(to, reportOf(zone, now));
}

void HostTable::send(const HostId& to, model::Message message) { outgoing_.push_back({to, std::move(message)}); }

model::HostRecord HostTable::nextOwnRecord()
{
    ++own_.sequence;
    return own_;
}

model::ZoneReport HostTable::reportOf(const ZoneName& zone, Timestamp now)
{
    model::ZoneReport report {.zone = zone, .relay = options_.self.host};
    for (const auto& [host, entry] : entries_) {
        // The capacity of a dead host has been cleared from its record, so the record must not be passed on.
        if (entry.view.record.zone != zone || entry.view.health == HostHealth::Dead)
            continue;
        report.hosts.push_back(entry.view.record);
        report.ages.push_back(now - entry.lastHeartbeatAt);
    }
    if (zone == options_.self.zone) {
        report.hosts.push_back(nextOwnRecord());
        report.ages.push_back(Duration::zero());
    }
    for (model::HostRecord& record : report.hosts)
        record.ownedTargets.clear();
    return report;
}

std::set<ZoneName> HostTable::knownZones() const
{
    std::set<ZoneName> zones {options_.self.zone};
    for (const auto& [host, entry] : entries_)
        zones.insert(entry.view.record.zone);
    return zones;
}

std::set<HostId> HostTable::zonePeers() const
{
    std::set<HostId> peers;
    for (const auto& [host, entry] : entries_) {
        if (isZonePeer(entry))
            peers.insert(host);
    }
    return peers;
}

std::set<HostId> HostTable::contactsOf(const ZoneName& zone) const
{
    std::set<HostId> contacts;
    const HostId relay = relayOf(zone);
    if (!relay.isEmpty()) {
        contacts.insert(relay);
        const auto reporter = reporters_.find(zone);
        if (reporter != reporters_.end())
            contacts.insert(reporter->second);
        return contacts;
    }
    // No host of the zone is alive: any of them may be the first to become reachable again.
    for (const auto& [host, entry] : entries_) {
        if (entry.view.record.zone == zone)
            contacts.insert(host);
    }
    return contacts;
}

std::set<HostId> HostTable::remoteContacts() const
{
    std::set<HostId> contacts;
    for (const ZoneName& zone : knownZones()) {
        if (zone != options_.self.zone)
            contacts.merge(contactsOf(zone));
    }
    return contacts;
}

bool HostTable::isKnownAddress(const model::Address& address) const
{
    if (address == options_.self.linkAddress)
        return true;
    return std::ranges::any_of(
        entries_, [&](const auto& item) { return item.second.view.record.linkAddress == address; });
}

std::vector<IHostTable::Peer> HostTable::wantedPeers() const
{
    std::set<HostId> wanted = zonePeers();
    if (isRelay())
        wanted.merge(remoteContacts());
    for (const auto& [host, entry] : entries_) {
        if (entry.view.record.isControl)
            wanted.insert(host);
    }
    std::vector<Peer> peers;
    for (const HostId& host : wanted)
        peers.push_back({host, entries_.at(host).view.record.linkAddress});
    for (const model::Address& seed : options_.seeds) {
        if (!isKnownAddress(seed))
            peers.push_back({{}, seed});
    }
    return peers;
}

} // namespace saltvane::membership
