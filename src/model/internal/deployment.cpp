/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/deployment.h"

#include "model/internal/deploymenttables.h"
#include "model/internal/repeatablepath.h"

#include <algorithm>

namespace saltvane::model {
namespace {

template <typename Index, typename NameType>
std::optional<Index> findIn(const std::unordered_map<NameType, Index>& table, const NameType& name)
{
    const auto found = table.find(name);
    if (found == table.end())
        return std::nullopt;
    return found->second;
}

} // namespace

Deployment::Deployment(Bundle bundle, LogPosition position)
    : bundle_(std::move(bundle))
    , position_(position)
    , tables_(std::make_unique<const Tables>(bundle_))
{
}

Deployment::~Deployment() = default;

uint32_t Deployment::zoneCount() const { return static_cast<uint32_t>(bundle_.zones.size()); }

uint32_t Deployment::regionCount() const { return static_cast<uint32_t>(bundle_.regions.size()); }

uint32_t Deployment::serviceCount() const { return static_cast<uint32_t>(bundle_.services.size()); }

std::optional<ZoneIndex> Deployment::findZone(const ZoneName& name) const { return findIn(tables_->zones, name); }

std::optional<RegionIndex> Deployment::findRegion(const RegionName& name) const
{
    return findIn(tables_->regions, name);
}

std::optional<ServiceIndex> Deployment::findService(const ServiceName& name) const
{
    return findIn(tables_->services, name);
}

const Zone& Deployment::zone(ZoneIndex index) const { return bundle_.zones[index.value]; }

const Region& Deployment::region(RegionIndex index) const { return bundle_.regions[index.value]; }

const Service& Deployment::service(ServiceIndex index) const { return bundle_.services[index.value]; }

RegionIndex Deployment::regionOf(ZoneIndex zone) const { return tables_->zoneRegions[zone.value]; }

double Deployment::openShare(ServiceIndex service, ZoneIndex zone) const
{
    return tables_->openShares[size_t {service.value} * bundle_.zones.size() + zone.value];
}

Duration Deployment::delay(RegionIndex from, RegionIndex to) const
{
    return tables_->regionDelays[tables_->regionPair(from, to)];
}

Duration Deployment::delay(ZoneIndex from, ZoneIndex to) const
{
    if (from == to)
        return Duration::zero();
    const RegionIndex fromRegion = regionOf(from);
    const RegionIndex toRegion = regionOf(to);
    return fromRegion == toRegion ? bundle_.delays.betweenZones : delay(fromRegion, toRegion);
}

std::span<const ZoneIndex> Deployment::zonesByDelay(RegionIndex from) const
{
    const size_t zones = bundle_.zones.size();
    return std::span(tables_->zonesByDelay).subspan(from.value * zones, zones);
}

std::optional<uint32_t> Deployment::linkLimit(RegionIndex from, RegionIndex to) const
{
    return tables_->linkLimits[tables_->regionPair(from, to)];
}

RegionIndex Deployment::clientRegion(std::string_view address) const
{
    const auto parsed = parseIpAddress(address);
    if (!parsed)
        return tables_->regions.at(bundle_.defaultClientRegion);
    const bool isIpv4 = parsed->family == AddressFamily::Ipv4;
    return isIpv4 ? tables_->ipv4Clients.find(parsed->key) : tables_->ipv6Clients.find(parsed->key);
}

bool Deployment::isRepeatable(ServiceIndex service, std::string_view method, std::string_view path) const
{
    const auto& rules = bundle_.services[service.value].repeatable;
    return std::any_of(rules.begin(), rules.end(),
        [&](const RepeatableRule& rule) { return rule.method == method && isPathUnder(path, rule.pathPrefix); });
}

} // namespace saltvane::model
