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

/// Targets report every 1 to 2 s, some reports come seconds late.
constexpr Duration SilenceLimit = 12s;
/// A gateway that missed a report hears the target again after so long.
constexpr Duration RepeatPeriod = 4s;

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
        removeOthersAt(record.address, record.target);
        const TargetId target = record.target;
        entries_.emplace(target, Entry {.record = std::move(record), .heardAt = now, .toldAt = {}});
        return true;
    }
    Entry& entry = found->second;
    if (record.sequence <= entry.record.sequence)
        return false;
    record.isLeaving = record.isLeaving || entry.record.isLeaving;
    const bool isSlow = record.slowStartLeft > Duration::zero() || entry.record.slowStartLeft > Duration::zero();
    const bool isChanged = record.isLeaving != entry.record.isLeaving || record.slots != entry.record.slots
        || record.address != entry.record.address;
    entry.isNews = entry.isNews || isSlow || isChanged;
    entry.record = std::move(record);
    entry.heardAt = now;
    return true;
}

void TargetBook::removeOthersAt(const model::Address& address, const TargetId& target)
{
    std::erase_if(
        entries_, [&](const auto& item) { return item.second.record.address == address && item.first != target; });
}

void TargetBook::remove(const TargetId& target) { entries_.erase(target); }

void TargetBook::tick(Timestamp now)
{
    std::erase_if(entries_, [&](const auto& item) { return now - item.second.heardAt > SilenceLimit; });
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
        if (!entry.isNews && !isHeardAgain)
            continue;
        entry.isNews = false;
        entry.toldAt = now;
        news.push_back(toldOf(entry, gateways, now));
    }
    return news;
}

std::vector<model::TargetRecord> TargetBook::all(std::span<const Gateway> gateways, Timestamp now) const
{
    std::vector<model::TargetRecord> records;
    records.reserve(entries_.size());
    for (const auto& [target, entry] : entries_)
        records.push_back(toldOf(entry, gateways, now));
    return records;
}

} // namespace saltvane::registry
