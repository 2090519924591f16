/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targetbook.h"

#include <utility>
#include <xxhash.h>

namespace saltvane::registry {

namespace {

/// Against whatever a gateway may have missed. Links lose nothing while they stand, and a link that stands again starts
/// with all targets, so this is rare: all targets to all gateways is most of what control sends.
constexpr Duration RepeatPeriod = 30s;

uint64_t pairHash(std::string_view left, std::string_view right)
{
    return XXH64(left.data(), left.size(), XXH64(right.data(), right.size(), 0));
}

model::TargetIncarnation startOf(const model::TargetRecord& record)
{
    return {.target = record.target, .incarnation = record.incarnation};
}

} // namespace

TargetBook::TargetBook(std::map<ZoneName, RegionName> zones)
    : zones_(std::move(zones))
{
}

bool TargetBook::note(model::TargetRecord record, Timestamp now)
{
    const auto found = entries_.find(record.target);
    if (found == entries_.end() || found->second.record.incarnation < record.incarnation)
        return noteStart(std::move(record), now);
    Entry& entry = found->second;
    if (record.incarnation < entry.record.incarnation || record.sequence <= entry.record.sequence)
        return false;
    noteReport(entry, std::move(record), now);
    return true;
}

bool TargetBook::noteStart(model::TargetRecord record, Timestamp now)
{
    if (displaced_.contains(startOf(record), now) || isAddressOfLater(record))
        return false;
    displaceOthersAt(record, now);
    if (const auto former = entries_.find(record.target); former != entries_.end())
        erase(former->second);
    Entry& entry = add(std::move(record), now);
    entry.wordAt = now;
    addNews(entry);
    return true;
}

void TargetBook::noteReport(Entry& entry, model::TargetRecord record, Timestamp now)
{
    record.isLeaving = record.isLeaving || entry.record.isLeaving;
    // Where it called another registry host in between, gateways may know more of it from there.
    const bool isBack = record.sequence > entry.record.sequence + 1;
    const bool isSlow = record.slowStartLeft > Duration::zero() || entry.record.slowStartLeft > Duration::zero();
    const bool isMoved = record.address != entry.record.address;
    const bool isChanged = entry.record.isRecalled || record.isLeaving != entry.record.isLeaving
        || record.slots != entry.record.slots || isMoved;
    const bool isAwaited = isWordWanted(entry);
    const bool isNews = isSlow || isChanged || isBack || isAwaited;
    if (isSlow || isChanged || isAwaited)
        ++changes_;
    if (isMoved) {
        displaceOthersAt(record, now);
        byAddress_.erase(entry.record.address);
        byAddress_.insert_or_assign(record.address, &entry);
    }
    entry.record = std::move(record);
    entry.wordAt = now;
    noteHeard(entry, now);
    if (isNews)
        addNews(entry);
}

TargetBook::Entry& TargetBook::add(model::TargetRecord record, Timestamp now)
{
    ++changes_;
    Entry& entry = entries_[record.target];
    byAddress_.insert_or_assign(record.address, &entry);
    entry.record = std::move(record);
    noteHeard(entry, now);
    return entry;
}

void TargetBook::erase(Entry& entry)
{
    ++changes_;
    if (atAddress(entry.record.address) == &entry)
        byAddress_.erase(entry.record.address);
    entries_.erase(entries_.find(entry.record.target));
}

void TargetBook::addNews(Entry& entry)
{
    if (!entry.newsHook.is_linked() && !isHeldBack(entry))
        news_.push_back(entry);
}

void TargetBook::noteHeard(Entry& entry, Timestamp now)
{
    entry.heardAt = now;
    entry.heardHook.unlink();
    byHeard_.push_back(entry);
}

void TargetBook::noteTold(Entry& entry, Timestamp now)
{
    entry.toldAt = now;
    entry.toldHook.unlink();
    byTold_.push_back(entry);
}

TargetBook::Entry* TargetBook::atAddress(const model::Address& address) const
{
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() ? nullptr : found->second;
}

bool TargetBook::isAddressOfLater(const model::TargetRecord& record) const
{
    const Entry* other = atAddress(record.address);
    // Starts that don't tell are taken in the order in which they report.
    return record.incarnation.value != 0 && other != nullptr && other->record.target != record.target
        && other->record.incarnation > record.incarnation;
}

void TargetBook::displaceOthersAt(const model::TargetRecord& record, Timestamp now)
{
    Entry* other = atAddress(record.address);
    if (other == nullptr || other->record.target == record.target)
        return;
    displaced_.note(startOf(other->record), now);
    erase(*other);
}

void TargetBook::noteLeaving(const model::TargetIncarnation& start)
{
    const auto found = entries_.find(start.target);
    if (found == entries_.end() || found->second.record.incarnation != start.incarnation)
        return;
    if (std::exchange(found->second.record.isLeaving, true))
        return;
    ++changes_;
    addNews(found->second);
}

void TargetBook::remove(const model::TargetIncarnation& start)
{
    const auto found = entries_.find(start.target);
    if (found != entries_.end() && found->second.record.incarnation <= start.incarnation)
        erase(found->second);
}

Incarnation TargetBook::incarnationOf(const TargetId& target) const
{
    const auto found = entries_.find(target);
    return found == entries_.end() ? Incarnation {} : found->second.record.incarnation;
}

bool TargetBook::isKnown(const TargetId& target, const ServiceName& service) const
{
    const auto found = entries_.find(target);
    return found != entries_.end() && found->second.record.service == service;
}

void TargetBook::recall(std::span<const model::TargetRecord> records, Timestamp now)
{
    for (model::TargetRecord record : records) {
        if (entries_.contains(record.target) || atAddress(record.address) != nullptr)
            continue;
        record.isRecalled = true;
        addNews(add(std::move(record), now));
    }
}

void TargetBook::releaseRecalled(const membership::RetiredTargets& retired)
{
    isRecallReleased_ = true;
    std::vector<Entry*> recalled;
    for (auto& [target, entry] : entries_) {
        if (entry.record.isRecalled)
            recalled.push_back(&entry);
    }
    for (Entry* entry : recalled) {
        if (retired.contains(startOf(entry->record)))
            erase(*entry);
        else
            addNews(*entry);
    }
}

std::vector<model::TargetRecord> TargetBook::recallable(const std::set<ZoneName>& closedZones) const
{
    std::vector<model::TargetRecord> records;
    for (const auto& [target, entry] : entries_) {
        if (entry.record.isLeaving || isWordWanted(entry) || closedZones.contains(entry.record.zone))
            continue;
        model::TargetRecord& record = records.emplace_back(entry.record);
        record.sequence = 0; // Any report is newer than what is recalled.
        record.isRecalled = false;
    }
    return records;
}

void TargetBook::wantWordOf(const ZoneName& zone, Timestamp now)
{
    ++changes_;
    wordWantedAt_.insert_or_assign(zone, now);
}

bool TargetBook::isWordWanted(const Entry& entry) const
{
    const auto wanted = wordWantedAt_.find(entry.record.zone);
    return wanted != wordWantedAt_.end() && entry.wordAt <= wanted->second;
}

HostId TargetBook::slowStartHostOf(const model::TargetRecord& record, std::span<const Gateway> gateways) const
{
    const auto region = zones_.find(record.zone);
    const Gateway* best = nullptr;
    std::pair<int, uint64_t> bestRank {-1, 0};
    for (const Gateway& gateway : gateways) {
        const bool isSameRegion = region != zones_.end() && gateway.region == region->second;
        const int nearness = gateway.zone == record.zone ? 2 : static_cast<int>(isSameRegion);
        const std::pair rank {nearness, pairHash(gateway.host.value(), record.target.value())};
        if (rank > bestRank) {
            best = &gateway;
            bestRank = rank;
        }
    }
    return best == nullptr ? HostId {} : best->host;
}

model::TargetRecord TargetBook::toldOf(const Entry& entry, std::span<const Gateway> gateways, Timestamp now) const
{
    model::TargetRecord told = entry.record;
    told.age = now - entry.heardAt;
    if (told.slowStartLeft > told.age)
        told.slowStartHost = slowStartHostOf(told, gateways);
    return told;
}

void TargetBook::repeatOld(Timestamp now)
{
    while (!byTold_.empty() && now - byTold_.front().toldAt >= RepeatPeriod) {
        Entry& entry = byTold_.front();
        entry.toldHook.unlink(); // Told again it is back in its place; one not heard of since falls silent before.
        if (entry.heardAt > entry.toldAt)
            addNews(entry);
    }
}

std::vector<model::TargetRecord> TargetBook::takeNews(std::span<const Gateway> gateways, Timestamp now)
{
    std::vector<model::TargetRecord> news;
    // Their last word: its age says that they are silent.
    while (!byHeard_.empty() && isSilent(byHeard_.front(), now)) {
        Entry& entry = byHeard_.front();
        if (!isHeldBack(entry))
            news.push_back(toldOf(entry, gateways, now));
        erase(entry);
    }
    repeatOld(now);
    while (!news_.empty()) {
        Entry& entry = news_.front();
        entry.newsHook.unlink();
        news.push_back(toldOf(entry, gateways, now));
        noteTold(entry, now);
    }
    return news;
}

bool TargetBook::isSilent(const Entry& entry, Timestamp now)
{
    return now - entry.heardAt >= model::TargetSilenceLimit;
}

std::vector<model::TargetRecord> TargetBook::all(std::span<const Gateway> gateways, Timestamp now) const
{
    std::vector<model::TargetRecord> records;
    records.reserve(entries_.size());
    for (const auto& [target, entry] : entries_) {
        if (!isHeldBack(entry))
            records.push_back(toldOf(entry, gateways, now));
    }
    return records;
}

} // namespace saltvane::registry
