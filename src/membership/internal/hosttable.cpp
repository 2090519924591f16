/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/internal/hosttable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace saltvane::membership {

namespace {

/// A joining host is sent all known records at most this often.
constexpr Duration FullReplyInterval = 1s;
/// Hosts of other zones get more time, because replacing their relay takes one suspicion timeout.
constexpr int RemoteSuspicionFactor = 2;

bool isNewer(const model::HostRecord& left, const model::HostRecord& right)
{
    return std::tie(left.incarnation, left.sequence) > std::tie(right.incarnation, right.sequence);
}

void clearServiceState(model::HostRecord& record)
{
    record.services.clear();
    record.demands.clear();
    record.ownedTargets.clear();
}

} // namespace

HostTable::HostTable(const HostTableOptions& options)
    : options_(options)
{
    setOwnRecord({});
}

void HostTable::setOwnRecord(model::HostRecord record)
{
    const uint64_t sequence = own_.sequence;
    own_ = std::move(record);
    own_.host = options_.self.host;
    own_.incarnation = options_.self.incarnation;
    own_.sequence = sequence;
    own_.zone = options_.self.zone;
    own_.region = options_.self.region;
    own_.linkAddress = options_.self.linkAddress;
    own_.entryAddress = options_.self.entryAddress;
    own_.isControl = options_.self.isControl;
}

bool HostTable::handle(const HostId& from, const model::Heartbeat& heartbeat, Timestamp now)
{
    const model::HostRecord& record = heartbeat.record;
    if (record.host != from || from == options_.self.host) {
        count(model::Counter::StaleMessages);
        return false;
    }
    const auto known = entries_.find(from);
    const bool isNew = known == entries_.end() || record.incarnation > known->second.view.record.incarnation;
    if (!apply(record, now, true, now)) {
        count(model::Counter::StaleMessages);
        return false;
    }
    const bool isJoining = record.state == model::HostState::Joining || record.zone != options_.self.zone;
    Entry& entry = entries_.at(from);
    const bool isTimeToReply = now - entry.lastFullReplyAt >= FullReplyInterval;
    if (isNew || (isJoining && isTimeToReply)) {
        entry.lastFullReplyAt = now;
        sendAllRecords(from, now);
    }
    return true;
}

bool HostTable::handle(const HostId& from, const model::ZoneReport& report, Timestamp now)
{
    const bool isOwnZone = report.zone == options_.self.zone;
    hasOwnZoneReport_ = hasOwnZoneReport_ || isOwnZone;
    bool isAnyApplied = false;
    const size_t known = std::min(report.hosts.size(), report.ages.size());
    for (size_t i = 0; i < known; ++i) {
        if (report.hosts[i].zone == report.zone)
            isAnyApplied = applyReported(report.hosts[i], report.ages[i], now) || isAnyApplied;
    }
    if (!isAnyApplied || isOwnZone)
        return isAnyApplied;
    const HostView* sender = find(from);
    if (sender && sender->record.zone == report.zone)
        reporters_[report.zone] = from;
    if (!sender || sender->record.zone != options_.self.zone)
        zonesToForward_.insert(report.zone);
    return true;
}

bool HostTable::applyReported(const model::HostRecord& record, Duration age, Timestamp now)
{
    if (record.host == options_.self.host)
        return false;
    const auto known = entries_.find(record.host);
    const bool isNew = known == entries_.end() || record.incarnation > known->second.view.record.incarnation;
    const bool isOwnZone = record.zone == options_.self.zone;
    // The health of zone peers follows from their own heartbeats; a report only adds them.
    if (isOwnZone && !isNew)
        return false;
    if (isNew && age >= options_.removeTimeout)
        return false;
    return apply(record, now - std::max(age, Duration::zero()), false, now);
}

bool HostTable::apply(const model::HostRecord& record, Timestamp lastHeartbeatAt, bool isDirect, Timestamp now)
{
    auto found = entries_.find(record.host);
    const bool isKnown = found != entries_.end();
    if (isKnown && !isNewer(record, found->second.view.record))
        return false;
    const bool isNewIncarnation = !isKnown || record.incarnation > found->second.view.record.incarnation;
    if (isNewIncarnation)
        count(model::Counter::HostsJoined);
    Entry& entry = entries_[record.host];
    if (isNewIncarnation) {
        entry = {};
        entry.view.health = HostHealth::Suspected;
    }
    entry.view.record = record;
    entry.lastHeartbeatAt = lastHeartbeatAt;
    entry.wasReceivedDirectly = entry.wasReceivedDirectly || isDirect;
    entry.isLinkDown = false;
    updateHealth(entry, now);
    return true;
}

void HostTable::onLinkUp(const HostId& host, Timestamp)
{
    if (host == options_.self.host)
        return;
    linkedHosts_.insert(host);
    if (!hasOwnZoneReport_ || !entries_.contains(host))
        send(host, model::Heartbeat {nextOwnRecord()});
}

void HostTable::onLinkDown(const HostId& host, Timestamp now)
{
    linkedHosts_.erase(host);
    const auto found = entries_.find(host);
    if (found == entries_.end())
        return;
    found->second.isLinkDown = true;
    updateHealth(found->second, now);
}

void HostTable::tick(Timestamp now)
{
    for (auto& [host, entry] : entries_)
        updateHealth(entry, now);
    eraseExpired(now);
    sendHeartbeats(now);
    sendReports(now);
    forwardReports(now);
}

HostHealth HostTable::healthAt(const Entry& entry, Timestamp now) const
{
    const Duration age = now - entry.lastHeartbeatAt;
    if (age > options_.deadTimeout)
        return HostHealth::Dead;
    if (entry.isLinkDown)
        return HostHealth::Suspected;
    if (isZonePeer(entry))
        return !entry.wasReceivedDirectly || age > options_.suspectTimeout ? HostHealth::Suspected : HostHealth::Alive;
    return age > RemoteSuspicionFactor * options_.suspectTimeout ? HostHealth::Suspected : HostHealth::Alive;
}

void HostTable::updateHealth(Entry& entry, Timestamp now)
{
    const HostHealth before = entry.view.health;
    entry.view.age = now - entry.lastHeartbeatAt;
    entry.view.health = healthAt(entry, now);
    if (entry.view.health == HostHealth::Suspected && before == HostHealth::Alive)
        count(model::Counter::HostsSuspected);
    if (entry.view.health == HostHealth::Dead)
        clearServiceState(entry.view.record);
}

void HostTable::eraseExpired(Timestamp now)
{
    std::erase_if(
        entries_, [&](const auto& item) { return now - item.second.lastHeartbeatAt > options_.removeTimeout; });
    std::erase_if(reporters_, [&](const auto& item) { return !entries_.contains(item.second); });
}

std::vector<model::OutgoingMessage> HostTable::drainOutgoing() { return std::exchange(outgoing_, {}); }

const HostView* HostTable::find(const HostId& host) const
{
    const auto found = entries_.find(host);
    return found == entries_.end() ? nullptr : &found->second.view;
}

std::vector<const HostView*> HostTable::hosts() const
{
    std::vector<const HostView*> views;
    for (const auto& [host, entry] : entries_)
        views.push_back(&entry.view);
    return views;
}

std::vector<model::HostRecord> HostTable::servingHosts(const ZoneName& zone) const
{
    std::vector<model::HostRecord> records;
    for (const auto& [host, entry] : entries_) {
        const model::HostRecord& record = entry.view.record;
        const bool isServing = entry.view.health == HostHealth::Alive && record.state == model::HostState::Serving;
        if (isServing && record.zone == zone)
            records.push_back(record);
    }
    if (own_.zone == zone && own_.state == model::HostState::Serving)
        records.push_back(own_);
    std::ranges::sort(records, {}, &model::HostRecord::host);
    return records;
}

HostId HostTable::relayOf(const ZoneName& zone) const
{
    const auto isAliveThere = [&](const auto& item) {
        return item.second.view.health == HostHealth::Alive && item.second.view.record.zone == zone;
    };
    const auto lowest = std::ranges::find_if(entries_, isAliveThere);
    if (zone != options_.self.zone)
        return lowest == entries_.end() ? HostId {} : lowest->first;
    return lowest == entries_.end() ? options_.self.host : std::min(lowest->first, options_.self.host);
}

bool HostTable::isRelay() const { return relayOf(options_.self.zone) == options_.self.host; }

bool HostTable::isZonePeer(const Entry& entry) const { return entry.view.record.zone == options_.self.zone; }

void HostTable::count(model::Counter counter) const
{
    if (options_.counters)
        options_.counters->add(counter);
}

} // namespace saltvane::membership
