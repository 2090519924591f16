/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targettable.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace saltvane::registry {

namespace {

/// Gateways remove targets that are not listed for 75 s. Targets that have not changed are listed by their hashes, 8
/// bytes in place of a record of some 300.
constexpr Duration ListInterval = 30s;
/// Repeats records that a gateway may have missed. Open links lose nothing, and a new link starts with all targets, so
/// this can be rare: sending all targets to all gateways is most of the control traffic.
constexpr Duration ResendInterval = 10min;
/// Of the reports of a target that states no incarnation. Others may reach other registry hosts in between; with a
/// larger step, one of both reports may be of an earlier start.
constexpr uint64_t MaxSequenceStep = 8;
/// A slow start that is known already may be stated again with this difference.
constexpr Duration SlowStartPrecision = 200ms;
constexpr size_t MaxUnknownRefusals = 4096;
/// What a target bears in its slow start is stated as requests in any second.
constexpr Duration SlowStartWindow = 1s;

uint64_t pairHash(std::string_view left, std::string_view right)
{
    return XXH64(left.data(), left.size(), XXH64(right.data(), right.size(), 0));
}

model::TargetIncarnation targetIncarnationOf(const model::TargetRecord& record)
{
    return {.target = record.target, .incarnation = record.incarnation};
}

} // namespace

TargetTable::TargetTable(std::map<ZoneName, RegionName> zones)
    : zones_(std::move(zones))
{
}

ReportOutcome TargetTable::applyReport(model::TargetRecord record, Timestamp now)
{
    const auto found = entries_.find(record.target);
    if (found == entries_.end() || found->second.record.incarnation < record.incarnation)
        return addIncarnation(std::move(record), now);
    Entry& entry = found->second;
    if (record.incarnation < entry.record.incarnation)
        return ReportOutcome::Stale;
    if (!isExpected(entry, record))
        return applyUnexpected(entry, std::move(record), now);
    updateEntry(entry, std::move(record), now);
    return ReportOutcome::Applied;
}

bool TargetTable::isExpected(const Entry& entry, const model::TargetRecord& record)
{
    const uint64_t last = entry.record.sequence;
    if (record.sequence <= last)
        return false;
    return record.incarnation.value != 0 || entry.record.isRecalled || record.sequence - last <= MaxSequenceStep;
}

bool TargetTable::continuesDeferred(const Entry& entry, uint64_t sequence, Timestamp now)
{
    if (!entry.deferredSequence || now - entry.deferredAt >= model::TargetHeartbeatTimeout)
        return false;
    const uint64_t deferred = *entry.deferredSequence;
    const bool areBothLater = deferred > entry.record.sequence;
    return sequence > deferred && (areBothLater || sequence - deferred <= MaxSequenceStep);
}

ReportOutcome TargetTable::applyUnexpected(Entry& entry, model::TargetRecord record, Timestamp now)
{
    if (record.incarnation.value != 0)
        return ReportOutcome::Stale;
    const bool isSlow = record.slowStartLeft > Duration::zero();
    if (isSlow && now >= slowUntil(entry) && !entry.startExpectedSince)
        onSlowStart(entry, now);
    entry.statedSlowUntil = std::max(slowUntil(entry), now + record.slowStartLeft);
    if (isSlow)
        entry.startExpectedSince.reset();
    if (continuesDeferred(entry, record.sequence, now)) {
        updateEntry(entry, std::move(record), now);
        queueUpdate(entry);
        return ReportOutcome::Restarted;
    }
    entry.deferredSequence = record.sequence;
    entry.deferredAt = now;
    if (isSlow) {
        ++changes_;
        // Gateways use what the host states that received the last report.
        entry.record.slowStartLeft = Duration::zero();
        markReceived(entry, now);
        queueUpdate(entry);
    }
    return ReportOutcome::Deferred;
}

ReportOutcome TargetTable::addIncarnation(model::TargetRecord record, Timestamp now)
{
    if (displaced_.contains(targetIncarnationOf(record), now) || isAddressOfNewerIncarnation(record))
        return ReportOutcome::Stale;
    displaceOthersAt(record, now);
    if (const auto former = entries_.find(record.target); former != entries_.end())
        erase(former->second);
    const std::optional<Timestamp> refusedAt = takeUnknownRefusal(record, now);
    Entry& entry = add(std::move(record), now);
    entry.reportedAt = now;
    entry.startExpectedSince = refusedAt;
    queueUpdate(entry);
    return ReportOutcome::Applied;
}

void TargetTable::updateEntry(Entry& entry, model::TargetRecord record, Timestamp now)
{
    record.isLeaving = record.isLeaving || entry.record.isLeaving;
    // The target reported to another registry host in between, from which gateways may have newer information.
    const bool hasMissedReports = record.sequence > entry.record.sequence + 1;
    const bool isSlow = record.slowStartLeft > Duration::zero() || entry.record.slowStartLeft > Duration::zero()
        || now < entry.statedSlowUntil || entry.startExpectedSince;
    const bool hasMoved = record.address != entry.record.address;
    const bool isChanged = entry.record.isRecalled || record.isLeaving != entry.record.isLeaving
        || record.slots != entry.record.slots || record.version != entry.record.version || hasMoved;
    const bool isAwaited = isAwaitingReport(entry, now);
    const bool mayBeSlow = isSlow || recentReopeningAge(record.zone, now);
    const bool needsUpdate = mayBeSlow || isChanged || hasMissedReports;
    if (isSlow || isChanged || isAwaited)
        ++changes_;
    if (record.slowStartLeft > Duration::zero() && now >= slowUntil(entry) && !entry.startExpectedSince)
        onSlowStart(entry, now);
    // It may have been sent before the target stopped.
    if (entry.startExpectedSince && now - *entry.startExpectedSince >= longestSlowStart_)
        entry.startExpectedSince.reset();
    // It may be of an earlier start than the one that named a slow start.
    if (record.incarnation.value == 0)
        entry.statedSlowUntil = std::max(entry.statedSlowUntil, slowUntil(entry));
    entry.deferredSequence.reset();
    if (hasMoved) {
        displaceOthersAt(record, now);
        byAddress_.erase(entry.record.address);
        byAddress_.insert_or_assign(record.address, &entry);
    }
    entry.record = std::move(record);
    entry.reportedAt = now;
    markReceived(entry, now);
    if (needsUpdate)
        queueUpdate(entry);
}

TargetTable::Entry& TargetTable::add(model::TargetRecord record, Timestamp now)
{
    ++changes_;
    Entry& entry = entries_[record.target];
    byAddress_.insert_or_assign(record.address, &entry);
    entry.record = std::move(record);
    markReceived(entry, now);
    return entry;
}

void TargetTable::erase(Entry& entry)
{
    ++changes_;
    if (atAddress(entry.record.address) == &entry)
        byAddress_.erase(entry.record.address);
    entries_.erase(entries_.find(entry.record.target));
}

void TargetTable::queueUpdate(Entry& entry)
{
    if (!entry.updateHook.is_linked() && !isWithheld(entry))
        updates_.push_back(entry);
}

void TargetTable::markReceived(Entry& entry, Timestamp now)
{
    entry.receivedAt = now;
    entry.receivedHook.unlink();
    byReceivedAt_.push_back(entry);
}

void TargetTable::markSent(Entry& entry, Timestamp now)
{
    entry.sentAt = now;
    markListed(entry, now);
}

void TargetTable::markListed(Entry& entry, Timestamp now)
{
    entry.listedAt = now;
    entry.listedHook.unlink();
    byListedAt_.push_back(entry);
}

TargetTable::Entry* TargetTable::atAddress(const model::Address& address) const
{
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() ? nullptr : found->second;
}

bool TargetTable::isAddressOfNewerIncarnation(const model::TargetRecord& record) const
{
    const Entry* other = atAddress(record.address);
    // Targets that don't report their incarnation are accepted in the order of their reports.
    return record.incarnation.value != 0 && other != nullptr && other->record.target != record.target
        && other->record.incarnation > record.incarnation;
}

void TargetTable::displaceOthersAt(const model::TargetRecord& record, Timestamp now)
{
    Entry* other = atAddress(record.address);
    if (other == nullptr || other->record.target == record.target)
        return;
    displaced_.record(targetIncarnationOf(other->record), now);
    erase(*other);
}

void TargetTable::markLeaving(const model::TargetIncarnation& targetIncarnation)
{
    const auto found = entries_.find(targetIncarnation.target);
    if (found != entries_.end() && found->second.record.incarnation == targetIncarnation.incarnation)
        markLeaving(found->second);
}

void TargetTable::retire(const model::TargetIncarnation& targetIncarnation)
{
    const auto found = entries_.find(targetIncarnation.target);
    if (found != entries_.end() && found->second.record.incarnation <= targetIncarnation.incarnation)
        markLeaving(found->second);
}

void TargetTable::markLeaving(Entry& entry)
{
    if (std::exchange(entry.record.isLeaving, true))
        return;
    ++changes_;
    queueUpdate(entry);
}

bool TargetTable::startSlowStart(const model::TargetRecord& record, Timestamp now)
{
    const auto found = entries_.find(record.target);
    if (found == entries_.end() || found->second.record.incarnation != record.incarnation)
        return false;
    Entry& entry = found->second;
    const Timestamp slowStartEnd = now + record.slowStartLeft;
    if (slowStartEnd <= slowUntil(entry) + SlowStartPrecision)
        return false;
    ++changes_;
    if (now >= slowUntil(entry))
        onSlowStart(entry, now);
    entry.statedSlowUntil = slowStartEnd;
    queueUpdate(entry);
    return true;
}

bool TargetTable::expectStart(const model::TargetRecord& record, Timestamp now)
{
    const auto found = entries_.find(record.target);
    if (found == entries_.end())
        return recordUnknownRefusal(targetIncarnationOf(record), now);
    Entry& entry = found->second;
    if (entry.record.incarnation != record.incarnation || entry.record.isLeaving
        || entry.record.address != record.address)
        return false;
    const bool isKnown = std::exchange(entry.startExpectedSince, now).has_value();
    if (isKnown)
        return false;
    ++changes_;
    if (now >= slowUntil(entry))
        onSlowStart(entry, now);
    queueUpdate(entry);
    return true;
}

bool TargetTable::recordUnknownRefusal(const model::TargetIncarnation& targetIncarnation, Timestamp now)
{
    if (unknownRefusals_.size() >= MaxUnknownRefusals)
        std::erase_if(
            unknownRefusals_, [&](const auto& item) { return now - item.second >= model::TargetHeartbeatTimeout; });
    if (unknownRefusals_.size() >= MaxUnknownRefusals)
        return false;
    const auto [known, isNew] = unknownRefusals_.try_emplace(targetIncarnation, now);
    return now - std::exchange(known->second, now) >= longestSlowStart_ || isNew;
}

std::optional<Timestamp> TargetTable::takeUnknownRefusal(const model::TargetRecord& record, Timestamp now)
{
    const auto refusal = unknownRefusals_.extract(targetIncarnationOf(record));
    const bool isRecent = !refusal.empty() && now - refusal.mapped() < model::TargetHeartbeatTimeout;
    return isRecent && record.slowStartLeft == Duration::zero() ? std::optional(refusal.mapped()) : std::nullopt;
}

void TargetTable::onSlowStart(Entry& entry, Timestamp now) const
{
    if (!recentReopeningAge(entry.record.zone, now))
        entry.namesGatewayFrom = now + SlowStartWindow;
}

std::optional<Incarnation> TargetTable::incarnationOf(const TargetId& target) const
{
    const auto found = entries_.find(target);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.record.incarnation);
}

const model::TargetRecord* TargetTable::find(const TargetId& target) const
{
    const auto found = entries_.find(target);
    return found == entries_.end() ? nullptr : &found->second.record;
}

bool TargetTable::isKnown(const TargetId& target, const ServiceName& service) const
{
    const auto found = entries_.find(target);
    return found != entries_.end() && found->second.record.service == service;
}

void TargetTable::recall(std::span<const model::TargetRecord> records, Timestamp now)
{
    for (model::TargetRecord record : records) {
        if (entries_.contains(record.target) || atAddress(record.address) != nullptr)
            continue;
        record.isRecalled = true;
        queueUpdate(add(std::move(record), now));
    }
}

void TargetTable::releaseRecalled(const membership::RetiredTargets& retired)
{
    isRecallReleased_ = true;
    std::vector<Entry*> recalled;
    for (auto& [target, entry] : entries_) {
        if (entry.record.isRecalled)
            recalled.push_back(&entry);
    }
    for (Entry* entry : recalled) {
        if (retired.blocks(targetIncarnationOf(entry->record)))
            erase(*entry);
        else
            queueUpdate(*entry);
    }
}

std::vector<model::TargetRecord> TargetTable::recallable(const std::set<ZoneName>& evacuatedZones, Timestamp now) const
{
    std::vector<model::TargetRecord> records;
    for (const auto& [target, entry] : entries_) {
        const ZoneName& zone = entry.record.zone;
        if (entry.record.isLeaving || entry.startExpectedSince || recentReopeningAge(zone, now)
            || evacuatedZones.contains(zone))
            continue;
        model::TargetRecord& record = records.emplace_back(entry.record);
        record.slowStartLeft = std::max(record.slowStartLeft, entry.statedSlowUntil - now);
        record.sequence = 0; // Any report is newer than a recalled record.
        record.isRecalled = false;
    }
    return records;
}

void TargetTable::onReopened(const ZoneName& zone, Timestamp now)
{
    ++changes_;
    reopenedAt_.insert_or_assign(zone, now);
}

std::optional<Duration> TargetTable::recentReopeningAge(const ZoneName& zone, Timestamp now) const
{
    const auto reopened = reopenedAt_.find(zone);
    if (reopened == reopenedAt_.end() || now - reopened->second >= longestSlowStart_)
        return std::nullopt;
    return now - reopened->second;
}

bool TargetTable::isAwaitingReport(const Entry& entry, Timestamp now) const
{
    const std::optional<Duration> age = recentReopeningAge(entry.record.zone, now);
    return age && entry.reportedAt <= now - *age;
}

HostId TargetTable::slowStartHostOf(const model::TargetRecord& record, std::span<const HostLocation> gateways) const
{
    const auto region = zones_.find(record.zone);
    const HostLocation* best = nullptr;
    std::pair<int, uint64_t> bestRank {-1, 0};
    for (const HostLocation& gateway : gateways) {
        const bool isSameRegion = region != zones_.end() && gateway.region == region->second;
        const int proximity = gateway.zone == record.zone ? 2 : static_cast<int>(isSameRegion);
        const std::pair rank {proximity, pairHash(gateway.host.value(), record.target.value())};
        if (rank > bestRank) {
            best = &gateway;
            bestRank = rank;
        }
    }
    return best == nullptr ? HostId {} : best->host;
}

Timestamp TargetTable::slowUntil(const Entry& entry)
{
    return std::max(entry.receivedAt + entry.record.slowStartLeft, entry.statedSlowUntil);
}

bool TargetTable::mayBeInSlowStart(const Entry& entry, Timestamp now) const
{
    return now < slowUntil(entry) || entry.startExpectedSince || recentReopeningAge(entry.record.zone, now);
}

model::TargetRecord TargetTable::outgoingRecordOf(const Entry& entry, Timestamp now) const
{
    model::TargetRecord outgoing = entry.record;
    outgoing.age = now - entry.receivedAt;
    outgoing.slowStartLeft = std::max(outgoing.slowStartLeft, entry.statedSlowUntil - entry.receivedAt);
    outgoing.isStartExpected = entry.startExpectedSince.has_value();
    // A gateway that connects now may not know that the zone was closed: no gateway may use the target.
    if (isAwaitingReport(entry, now))
        outgoing.slowStartLeft
            = outgoing.age + longestSlowStart_ - recentReopeningAge(entry.record.zone, now).value_or(Duration::zero());
    else if (mayBeInSlowStart(entry, now))
        outgoing.slowStartHost = entry.slowStartHost;
    return outgoing;
}

void TargetTable::queueListings(Timestamp now)
{
    while (!byListedAt_.empty() && now - byListedAt_.front().listedAt >= ListInterval) {
        Entry& entry = byListedAt_.front();
        entry.listedHook.unlink(); // Linked again once it is listed, unless the target has stopped reporting.
        if (entry.receivedAt <= entry.listedAt)
            continue;
        if (now - entry.sentAt >= ResendInterval) {
            queueUpdate(entry);
        } else if (!entry.updateHook.is_linked()) {
            unchanged_.push_back(model::incarnationHash(targetIncarnationOf(entry.record)));
            markListed(entry, now);
        }
    }
}

std::vector<model::TargetRecord> TargetTable::drainUpdates(std::span<const HostLocation> gateways, Timestamp now)
{
    std::vector<model::TargetRecord> updates;
    // The age of the last record shows gateways that the target is unresponsive.
    while (!byReceivedAt_.empty() && isUnresponsive(byReceivedAt_.front(), now)) {
        Entry& entry = byReceivedAt_.front();
        if (!isWithheld(entry))
            updates.push_back(outgoingRecordOf(entry, now));
        erase(entry);
    }
    queueListings(now);
    while (!updates_.empty()) {
        Entry& entry = updates_.front();
        entry.updateHook.unlink();
        // Full reports repeat it: gateways that were told different names would each use the target.
        const bool namesGateway = mayBeInSlowStart(entry, now) && now >= entry.namesGatewayFrom;
        entry.slowStartHost = namesGateway ? slowStartHostOf(entry.record, gateways) : HostId();
        updates.push_back(outgoingRecordOf(entry, now));
        markSent(entry, now);
    }
    return updates;
}

bool TargetTable::isUnresponsive(const Entry& entry, Timestamp now)
{
    return now - entry.receivedAt >= model::TargetHeartbeatTimeout;
}

std::vector<model::TargetRecord> TargetTable::all(Timestamp now) const
{
    std::vector<model::TargetRecord> records;
    records.reserve(entries_.size());
    for (const auto& [target, entry] : entries_) {
        if (!isWithheld(entry))
            records.push_back(outgoingRecordOf(entry, now));
    }
    return records;
}

} // namespace saltvane::registry
