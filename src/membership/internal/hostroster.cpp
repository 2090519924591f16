/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/internal/hostroster.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace saltvane::membership {

HostRoster::HostRoster(HostRosterOptions options)
    : options_(std::move(options))
{
}

void HostRoster::handle(const model::Delivery& delivery, Timestamp now)
{
    if (const auto* heartbeat = std::get_if<model::Heartbeat>(&delivery.message)) {
        if (heartbeat->record.host == delivery.from)
            updateEntry(heartbeat->record, now);
        return;
    }
    const auto* report = std::get_if<model::ZoneReport>(&delivery.message);
    if (report == nullptr)
        return;
    for (size_t i = 0; i < report->hosts.size() && i < report->ages.size(); ++i)
        updateEntry(report->hosts[i], now - std::min(report->ages[i], options_.memory));
}

void HostRoster::updateEntry(const model::HostRecord& record, Timestamp lastReceivedAt)
{
    if (record.host == options_.self.host)
        return;
    const auto [found, isNew]
        = entries_.try_emplace(record.host, RosterEntry {.record = record, .lastReceivedAt = lastReceivedAt});
    RosterEntry& known = found->second;
    const bool isNewer
        = std::tie(record.incarnation, record.sequence) > std::tie(known.record.incarnation, known.record.sequence);
    if (isNewer)
        known.record = record;
    if (record.incarnation == known.record.incarnation)
        known.lastReceivedAt = std::max(known.lastReceivedAt, lastReceivedAt);
    hasNewControlHost_ = hasNewControlHost_ || (isNew && record.isControl);
}

void HostRoster::onLinkUp(const HostId& host, Incarnation incarnation)
{
    const auto found = entries_.find(host);
    if (found != entries_.end() && found->second.record.incarnation != incarnation) {
        found->second.record.incarnation = incarnation;
        found->second.record.sequence = 0;
    }
    sendHeartbeat(host);
}

void HostRoster::setState(model::HostState state)
{
    if (options_.self.state == state)
        return;
    options_.self.state = state;
    sendHeartbeats(controlHosts());
}

void HostRoster::setIsolated(bool isIsolated)
{
    if (std::exchange(options_.self.isIsolated, isIsolated) != isIsolated)
        sendHeartbeats(controlHosts());
}

void HostRoster::sendHeartbeat(const HostId& to)
{
    ++options_.self.sequence;
    outgoing_.push_back({.to = to, .message = model::Heartbeat {.record = options_.self}});
}

void HostRoster::sendHeartbeats(const std::vector<HostId>& hosts)
{
    for (const HostId& host : hosts)
        sendHeartbeat(host);
}

void HostRoster::sendReports(bool isToAllRegions, Timestamp now)
{
    model::ZoneReport report {.zone = options_.self.zone, .relay = options_.self.host};
    for (const auto& [host, entry] : entries_) {
        if (!entry.record.isControl)
            continue;
        report.hosts.push_back(entry.record);
        report.ages.push_back(now - entry.lastReceivedAt);
    }
    for (const auto& [host, entry] : entries_) {
        if (isToAllRegions || entry.record.region == options_.self.region)
            outgoing_.push_back({.to = host, .message = report});
    }
}

void HostRoster::eraseExpired(Timestamp now)
{
    std::erase_if(entries_, [&](const auto& item) { return now - item.second.lastReceivedAt > options_.memory; });
}

void HostRoster::tick(Timestamp now)
{
    if (now >= nextHeartbeatAt_) {
        nextHeartbeatAt_ = now + options_.heartbeatInterval;
        eraseExpired(now);
        const bool includesOtherRegions = options_.self.isControl || now >= nextOtherRegionHeartbeatAt_;
        if (includesOtherRegions)
            nextOtherRegionHeartbeatAt_ = now + options_.otherRegionHeartbeatInterval;
        sendHeartbeats(includesOtherRegions ? controlHosts() : sameRegionControlHosts());
    }
    const bool isToAllRegions = hasNewControlHost_ || now >= nextOtherRegionReportAt_;
    if (!options_.self.isControl || (now < nextReportAt_ && !isToAllRegions))
        return;
    hasNewControlHost_ = false;
    nextReportAt_ = now + options_.reportInterval;
    if (isToAllRegions)
        nextOtherRegionReportAt_ = now + options_.otherRegionReportInterval;
    sendReports(isToAllRegions, now);
}

std::vector<model::OutgoingMessage> HostRoster::drainOutgoing() { return std::exchange(outgoing_, {}); }

std::vector<HostId> HostRoster::controlHosts() const
{
    std::set<HostId> hosts(options_.seeds.begin(), options_.seeds.end());
    for (const auto& [host, entry] : entries_) {
        if (entry.record.isControl)
            hosts.insert(host);
    }
    hosts.erase(options_.self.host);
    return {hosts.begin(), hosts.end()};
}

bool HostRoster::isInOtherRegion(const HostId& host) const
{
    const RosterEntry* entry = find(host);
    return entry != nullptr && entry->record.region != options_.self.region;
}

std::vector<HostId> HostRoster::sameRegionControlHosts() const
{
    const std::vector<HostId> all = controlHosts();
    std::vector<HostId> sameRegion = all;
    std::erase_if(sameRegion, [&](const HostId& host) { return isInOtherRegion(host); });
    return sameRegion.empty() ? all : sameRegion;
}

std::vector<const RosterEntry*> HostRoster::receivedWithin(Duration age, Timestamp now) const
{
    std::vector<const RosterEntry*> received;
    for (const auto& [host, entry] : entries_) {
        if (now - entry.lastReceivedAt <= age)
            received.push_back(&entry);
    }
    return received;
}

const RosterEntry* HostRoster::find(const HostId& host) const
{
    const auto found = entries_.find(host);
    return found == entries_.end() ? nullptr : &found->second;
}

std::unique_ptr<IHostRoster> makeHostRoster(HostRosterOptions options)
{
    return std::make_unique<HostRoster>(std::move(options));
}

} // namespace saltvane::membership
