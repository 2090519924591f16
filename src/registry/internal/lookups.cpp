/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/lookups.h"

#include <algorithm>
#include <charconv>

namespace saltvane::registry {

namespace {

/// Over three heartbeat intervals of 0.3 s: a failed gateway disappears from the answers after about a second.
constexpr Duration SameRegionTimeout = 1100ms;
/// Over three heartbeat intervals of gateways in other regions, 1.2 s each. Gateways of this region whose last
/// heartbeat is that old are still returned where no gateway is within its timeout.
constexpr Duration OtherRegionTimeout = 4s;
constexpr size_t MaxAddresses = 64;

int proximityOf(const model::HostRecord& record, std::string_view zone, std::string_view region)
{
    if (record.zone.value() == zone)
        return 2;
    return record.region.value() == region ? 1 : 0;
}

int hexDigit(char c)
{
    int digit = -1;
    constexpr int HexBase = 16;
    std::from_chars(&c, &c + 1, digit, HexBase);
    return digit;
}

std::string percentDecode(std::string_view text)
{
    constexpr int HexBase = 16;
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        const bool isEscape
            = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (isEscape) {
            decoded.push_back(static_cast<char>(hexDigit(text[i + 1]) * HexBase + hexDigit(text[i + 2])));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

} // namespace

std::vector<const membership::RosterEntry*> servingGateways(
    const membership::IHostRoster& roster, const RegionName& ownRegion, Timestamp now)
{
    std::vector<const membership::RosterEntry*> entries = roster.receivedWithin(OtherRegionTimeout, now);
    std::erase_if(entries, [](const membership::RosterEntry* entry) {
        return entry->record.isControl || entry->record.state != model::HostState::Serving;
    });
    const auto isFresh = [&](const membership::RosterEntry* entry) {
        return now - entry->lastReceivedAt
            <= (entry->record.region == ownRegion ? SameRegionTimeout : OtherRegionTimeout);
    };
    if (std::ranges::any_of(entries, isFresh))
        std::erase_if(entries, [&](const membership::RosterEntry* entry) { return !isFresh(entry); });
    const auto isIsolated = [](const membership::RosterEntry* entry) { return entry->record.isIsolated; };
    if (!std::ranges::all_of(entries, isIsolated))
        std::erase_if(entries, isIsolated);
    return entries;
}

std::vector<model::Address> gatewaysFor(
    const membership::IHostRoster& roster, const RegionName& ownRegion, const Origin& caller, Timestamp now)
{
    const std::vector<const membership::RosterEntry*> entries = servingGateways(roster, ownRegion, now);
    int bestProximity = 0;
    for (const membership::RosterEntry* entry : entries)
        bestProximity = std::max(bestProximity, proximityOf(entry->record, caller.zone, caller.region));
    std::vector<model::Address> addresses;
    for (const membership::RosterEntry* entry : entries) {
        if (proximityOf(entry->record, caller.zone, caller.region) == bestProximity && addresses.size() < MaxAddresses)
            addresses.push_back(entry->record.entryAddress);
    }
    return addresses;
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string queryValue(std::string_view target, std::string_view field)
{
    const size_t start = target.find('?');
    std::string_view rest = start == std::string_view::npos ? std::string_view {} : target.substr(start + 1);
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        const size_t equals = item.find('=');
        if (item.substr(0, equals) == field && equals != std::string_view::npos)
            return percentDecode(item.substr(equals + 1));
    }
    return {};
}

} // namespace saltvane::registry
