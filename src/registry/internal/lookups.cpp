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

/// Three heartbeats and some: a gateway that is gone leaves the answers within about a second.
constexpr Duration FreshFor = 1100ms;
/// The same for gateways of other regions, which send heartbeats each 1.2 s. Gateways that were heard of less lately
/// are also better than none.
constexpr Duration FarFreshFor = 4s;
constexpr size_t MostAddresses = 64;

int nearnessOf(const model::HostRecord& record, std::string_view zone, std::string_view region)
{
    if (record.zone.value() == zone)
        return 2;
    return record.region.value() == region ? 1 : 0;
}

std::vector<const membership::RosterEntry*> serving(
    const membership::IHostRoster& roster, const RegionName& ownRegion, Timestamp now)
{
    std::vector<const membership::RosterEntry*> entries = roster.heardWithin(FarFreshFor, now);
    std::erase_if(entries, [](const membership::RosterEntry* entry) {
        return entry->record.isControl || entry->record.state != model::HostState::Serving;
    });
    const auto isFresh = [&](const membership::RosterEntry* entry) {
        return now - entry->heardAt <= (entry->record.region == ownRegion ? FreshFor : FarFreshFor);
    };
    if (std::ranges::any_of(entries, isFresh))
        std::erase_if(entries, [&](const membership::RosterEntry* entry) { return !isFresh(entry); });
    return entries;
}

int hexDigit(char c)
{
    int digit = -1;
    constexpr int Hex = 16;
    std::from_chars(&c, &c + 1, digit, Hex);
    return digit;
}

std::string unescape(std::string_view text)
{
    constexpr int Hex = 16;
    std::string plain;
    for (size_t i = 0; i < text.size(); ++i) {
        const bool isEscape
            = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (isEscape) {
            plain.push_back(static_cast<char>(hexDigit(text[i + 1]) * Hex + hexDigit(text[i + 2])));
            i += 2;
        } else {
            plain.push_back(text[i]);
        }
    }
    return plain;
}

} // namespace

std::vector<model::Address> gatewaysFor(
    const membership::IHostRoster& roster, const RegionName& ownRegion, const Origin& caller, Timestamp now)
{
    const std::vector<const membership::RosterEntry*> entries = serving(roster, ownRegion, now);
    int nearest = 0;
    for (const membership::RosterEntry* entry : entries)
        nearest = std::max(nearest, nearnessOf(entry->record, caller.zone, caller.region));
    std::vector<model::Address> addresses;
    for (const membership::RosterEntry* entry : entries) {
        if (nearnessOf(entry->record, caller.zone, caller.region) == nearest && addresses.size() < MostAddresses)
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
            return unescape(item.substr(equals + 1));
    }
    return {};
}

} // namespace saltvane::registry
