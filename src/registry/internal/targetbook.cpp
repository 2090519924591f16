/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targetbook.h"

#include <algorithm>
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

} // namespace

TargetBook::TargetBook(std::map<ZoneName, RegionName> zones)
    : zones_(std::move(zones))
{
}

bool TargetBook::note(model::TargetRecord record, Timestamp now)
{
    const auto found = entries_.find(record.target);
    if (found == entries_.end()) {
        if (displaced_.contains(record.target, now))
            return false;
        removeOthersAt(record.address, record.target, now);
        const TargetId target = record.target;
        entries_.emplace(target, Entry {.record = std::move(record), .heardAt = now, .toldAt = {}});
        return true;
    }
    Entry& entry = found->second;
    if (record.sequence <= entry.record.sequence)
        return false;
    record.isLeaving = record.isLeaving || entry.record.isLeaving;
    // Where it called another registry host in between, gateways may know more of it from there.
    const bool isBack = record.sequence > entry.record.sequence + 1;
    const bool isSlow = record.slowStartLeft > Duration::zero() || entry.record.slowStartLeft > Duration::zero();
    const bool isChanged = entry.record.isRecalled || record.isLeaving != entry.record.isLeaving
        || record.slots != entry.record.slots || record.address != entry.record.address;
    entry.isNews = entry.isNews || isSlow || isChanged || isBack || entry.isWanted;
    entry.isWanted = false;
    entry.record = std::move(record);
    entry.heardAt = now;
    return true;
}

void TargetBook::removeOthersAt(const model::Address& address, const TargetId& target, Timestamp now)
{
    std::erase_if(entries_, [&](const auto& item) {
        const bool isDisplaced = item.second.record.address == address && item.first != target;
        if (isDisplaced)
            displaced_.note(item.first, now);
        return isDisplaced;
    });
}

void TargetBook::remove(const TargetId& target) { entries_.erase(target); }

void TargetBook::recall(std::span<const model::TargetRecord> records, Timestamp now)
{
    for (model::TargetRecord record : records) {
        const bool isKnown = entries_.contains(record.target) || std::ranges::any_of(entries_, [&](const auto& item) {
            return item.second.record.address == record.address;
        });
        if (isKnown)
            continue;
        record.isRecalled = true;
        const TargetId target = record.target;
        entries_.emplace(target, Entry {.record = std::move(record), .heardAt = now, .toldAt = {}});
    }
}

void TargetBook::releaseRecalled(const std::set<TargetId>& retired)
{
    isRecallReleased_ = true;
    std::erase_if(
        entries_, [&](const auto& item) { return item.second.record.isRecalled && retired.contains(item.first); });
}

std::vector<model::TargetRecord> TargetBook::recallable(const std::set<ZoneName>& closedZones) const
{
    std::vector<model::TargetRecord> records;
    for (const auto& [target, entry] : entries_) {
        if (entry.record.isLeaving || entry.isWanted || closedZones.contains(entry.record.zone))
            continue;
        model::TargetRecord& record = records.emplace_back(entry.record);
        record.sequence = 0; // Any report is newer than what is recalled.
        record.isRecalled = false;
    }
    return records;
}

void TargetBook::wantWordOf(const ZoneName& zone)
{
    for (auto& [target, entry] : entries_)
        entry.isWanted = entry.isWanted || entry.record.zone == zone;
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

std::vector<model::TargetRecord> TargetBook::takeNews(std::span<const Gateway> gateways, Timestamp now)
{
    std::vector<model::TargetRecord> news;
    for (auto& [target, entry] : entries_) {
        const bool isHeardAgain = entry.heardAt > entry.toldAt && now - entry.toldAt >= RepeatPeriod;
        const bool isTold = entry.isNews || isHeardAgain || isSilent(entry, now);
        if (!isTold || isHeldBack(entry))
            continue;
        entry.isNews = false;
        entry.toldAt = now;
        news.push_back(toldOf(entry, gateways, now));
    }
    // Their last word is told: its age says that they are silent.
    std::erase_if(entries_, [&](const auto& item) { return isSilent(item.second, now); });
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
