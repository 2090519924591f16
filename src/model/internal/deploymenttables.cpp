/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/internal/deploymenttables.h"

#include <algorithm>

namespace saltvane::model {
namespace {

template <typename Index, typename Entry> auto indexByName(const std::vector<Entry>& entries)
{
    std::unordered_map<decltype(Entry::name), Index> result;
    for (uint32_t i = 0; i < entries.size(); ++i)
        result.emplace(entries[i].name, Index {i});
    return result;
}

PrefixTable makeClientTable(
    AddressFamily family, const Bundle& bundle, const std::unordered_map<RegionName, RegionIndex>& regions)
{
    std::vector<PrefixRegion> blocks;
    for (const ClientBlock& block : bundle.clients) {
        if (const auto prefix = parseAddressPrefix(block.prefix))
            blocks.push_back({.prefix = *prefix, .region = regions.at(block.region)});
    }
    return {family, blocks, regions.at(bundle.defaultClientRegion)};
}

} // namespace

Deployment::Tables::Tables(const Bundle& bundle)
    : zones(indexByName<ZoneIndex>(bundle.zones))
    , regions(indexByName<RegionIndex>(bundle.regions))
    , services(indexByName<ServiceIndex>(bundle.services))
    , ipv4Clients(makeClientTable(AddressFamily::Ipv4, bundle, regions))
    , ipv6Clients(makeClientTable(AddressFamily::Ipv6, bundle, regions))
{
    fillZoneRegions(bundle);
    fillOpenShares(bundle);
    fillRegionDelays(bundle);
    fillZonesByDelay();
    fillLinkLimits(bundle);
}

size_t Deployment::Tables::regionPair(RegionIndex from, RegionIndex to) const
{
    return size_t {from.value} * regions.size() + to.value;
}

void Deployment::Tables::fillZoneRegions(const Bundle& bundle)
{
    for (const Zone& zone : bundle.zones)
        zoneRegions.push_back(regions.at(zone.region));
}

void Deployment::Tables::fillOpenShares(const Bundle& bundle)
{
    openShares.assign(bundle.services.size() * bundle.zones.size(), 0.0);
    for (size_t service = 0; service < bundle.services.size(); ++service) {
        for (const ZoneShare& share : bundle.services[service].zones)
            openShares[service * bundle.zones.size() + zones.at(share.zone).value] = share.open;
    }
}

void Deployment::Tables::fillRegionDelays(const Bundle& bundle)
{
    regionDelays.assign(regions.size() * regions.size(), bundle.delays.betweenRegions);
    for (uint32_t i = 0; i < regions.size(); ++i)
        regionDelays[regionPair({i}, {i})] = Duration::zero();
    // A configured delay applies to both directions unless the opposite one is configured too: the first loop sets the
    // opposite directions, the second one overwrites them where needed.
    for (const RegionDelay& stated : bundle.regionDelays)
        regionDelays[regionPair(regions.at(stated.to), regions.at(stated.from))] = stated.delay;
    for (const RegionDelay& stated : bundle.regionDelays)
        regionDelays[regionPair(regions.at(stated.from), regions.at(stated.to))] = stated.delay;
}

void Deployment::Tables::fillZonesByDelay()
{
    std::vector<ZoneIndex> ranked(zoneRegions.size());
    for (uint32_t region = 0; region < regions.size(); ++region) {
        for (uint32_t i = 0; i < ranked.size(); ++i)
            ranked[i] = ZoneIndex {i};
        std::stable_sort(ranked.begin(), ranked.end(), [&](ZoneIndex left, ZoneIndex right) {
            return regionDelays[regionPair({region}, zoneRegions[left.value])]
                < regionDelays[regionPair({region}, zoneRegions[right.value])];
        });
        zonesByDelay.insert(zonesByDelay.end(), ranked.begin(), ranked.end());
    }
}

void Deployment::Tables::fillLinkLimits(const Bundle& bundle)
{
    linkLimits.assign(regions.size() * regions.size(), std::nullopt);
    for (const LinkLimit& limit : bundle.linkLimits)
        linkLimits[regionPair(regions.at(limit.from), regions.at(limit.to))] = limit.requestsInFlight;
}

} // namespace saltvane::model
