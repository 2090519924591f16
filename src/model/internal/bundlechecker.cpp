/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/internal/bundlechecker.h"

#include "model/internal/addressprefix.h"
#include "model/textchecks.h"

#include <algorithm>
#include <cmath>

namespace saltvane::model {
namespace {

constexpr size_t MinOperators = 2; // One proposes a bundle, another one approves it.
constexpr Duration MaxDelay = 10s;
constexpr Duration MaxWindow = 24h;
constexpr Duration MinWindow = 1s;
constexpr Duration MinDeadline = 1ms;
constexpr Duration MaxDeadline = 1h;
constexpr Duration MinTtl = 1s;
constexpr Duration MaxTtl = 1h;
constexpr Duration MinRetention = 1h;
constexpr Duration MaxRetention = 720h;

bool isMethod(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

std::string millisecondsText(Duration value) { return std::to_string(value / 1ms) + " ms"; }

} // namespace

BundleChecker::BundleChecker(const Bundle& bundle)
    : bundle_(bundle)
{
    for (const Region& region : bundle.regions)
        regions_.insert(region.name);
    for (const Zone& zone : bundle.zones)
        zones_.insert(zone.name);
}

Findings BundleChecker::check()
{
    checkTopLevel();
    checkDelays();
    checkRegionsAndZones();
    checkRegionDelays();
    checkLinkLimits();
    checkClients();
    checkNames(bundle_.services, "services.name");
    for (const Service& service : bundle_.services)
        checkService(service);
    checkOperators();
    return findings_;
}

void BundleChecker::add(const Location& location, std::string field, std::string message)
{
    findings_.add({.location = location, .field = std::move(field), .message = std::move(message)});
}

void BundleChecker::checkName(const Location& location, const std::string& field, const std::string& name)
{
    if (!isName(name))
        add(location, field, std::string(NameRule));
}

void BundleChecker::checkRegion(const Location& location, const std::string& field, const RegionName& name)
{
    if (!regions_.contains(name))
        add(location, field, "is not a region of this bundle: '" + name.value() + "'");
}

template <typename Entry> void BundleChecker::checkNames(const std::vector<Entry>& entries, const std::string& field)
{
    std::set<std::string> seen;
    for (const Entry& entry : entries) {
        checkName(entry.location, field, entry.name.value());
        if (!seen.insert(entry.name.value()).second)
            add(entry.location, field, "is listed twice: '" + entry.name.value() + "'");
    }
}

void BundleChecker::checkRange(
    const Location& location, const std::string& field, Duration value, Duration minimum, Duration maximum)
{
    if (value < minimum || value > maximum)
        add(location, field, "must be from " + millisecondsText(minimum) + " to " + millisecondsText(maximum));
}

void BundleChecker::checkTopLevel()
{
    checkName({}, "deployment", bundle_.deployment);
    if (bundle_.version.value == 0)
        add({}, "version", "must be at least 1");
    if (bundle_.regions.empty())
        add({}, "regions", "must name at least one region");
    if (bundle_.services.empty())
        add({}, "services", "must name at least one service");
}

void BundleChecker::checkDelays()
{
    checkRange({}, "delays.between_zones_ms", bundle_.delays.betweenZones, 0ms, MaxDelay);
    checkRange({}, "delays.between_regions_ms", bundle_.delays.betweenRegions, 0ms, MaxDelay);
    checkRange({}, "delays.to_clients_ms", bundle_.delays.toClients, 0ms, MaxDelay);
}

void BundleChecker::checkRegionsAndZones()
{
    checkNames(bundle_.regions, "regions.name");
    checkNames(bundle_.zones, "regions.zones");
    std::set<RegionName> regionsWithZones;
    for (const Zone& zone : bundle_.zones) {
        checkRegion(zone.location, "regions.zones", zone.region);
        regionsWithZones.insert(zone.region);
    }
    for (const Region& region : bundle_.regions) {
        if (!regionsWithZones.contains(region.name))
            add(region.location, "regions.zones", "region '" + region.name.value() + "' has no zone");
    }
}

void BundleChecker::checkRegionPair(
    const Location& location, const std::string& list, const RegionName& from, const RegionName& to)
{
    checkRegion(location, list + ".from", from);
    checkRegion(location, list + ".to", to);
    if (from == to)
        add(location, list, "must name two different regions");
}

void BundleChecker::checkRegionDelays()
{
    std::set<std::pair<RegionName, RegionName>> seen;
    for (const RegionDelay& delay : bundle_.regionDelays) {
        checkRegionPair(delay.location, "region_delays", delay.from, delay.to);
        checkRange(delay.location, "region_delays.delay_ms", delay.delay, 0ms, MaxDelay);
        if (!seen.insert({delay.from, delay.to}).second)
            add(delay.location, "region_delays", "this pair of regions is listed twice");
    }
}

void BundleChecker::checkLinkLimits()
{
    std::set<std::pair<RegionName, RegionName>> seen;
    for (const LinkLimit& limit : bundle_.linkLimits) {
        checkRegionPair(limit.location, "link_limits", limit.from, limit.to);
        if (!seen.insert({limit.from, limit.to}).second)
            add(limit.location, "link_limits", "this pair of regions is listed twice");
    }
}

void BundleChecker::checkClients()
{
    checkRegion({}, "clients.default_region", bundle_.defaultClientRegion);
    std::set<AddressPrefix> seen;
    for (const ClientBlock& block : bundle_.clients) {
        checkRegion(block.location, "clients.blocks.region", block.region);
        const auto prefix = parseAddressPrefix(block.prefix);
        if (!prefix)
            add(block.location, "clients.blocks.prefix",
                "is not an address block (address/length, with zero bits after the prefix): '" + block.prefix + "'");
        else if (!seen.insert(*prefix).second)
            add(block.location, "clients.blocks.prefix", "is listed twice: '" + block.prefix + "'");
    }
}

void BundleChecker::checkOperators()
{
    checkNames(bundle_.operators, "operators.name");
    if (!bundle_.operators.empty() && bundle_.operators.size() < MinOperators)
        add(bundle_.operators.front().location, "operators", "must name at least two operators, or none");
    std::set<std::string> keys;
    for (const Operator& entry : bundle_.operators) {
        if (!isPublicKey(entry.publicKey))
            add(entry.location, "operators.public_key", std::string(PublicKeyRule));
        else if (!keys.insert(entry.publicKey).second)
            add(entry.location, "operators.public_key", "is also the key of another operator");
    }
}

void BundleChecker::checkService(const Service& service)
{
    checkServiceZones(service);
    checkShiftCaps(service);
    checkRepeatable(service);
    checkServiceTimes(service);
}

void BundleChecker::checkServiceZones(const Service& service)
{
    std::set<ZoneName> seen;
    for (const ZoneShare& share : service.zones) {
        if (!zones_.contains(share.zone))
            add(share.location, "services.zones.zone", "is not a zone of this bundle: '" + share.zone.value() + "'");
        if (!seen.insert(share.zone).second)
            add(share.location, "services.zones.zone", "is listed twice: '" + share.zone.value() + "'");
        if (!(share.open >= 0 && share.open <= 1))
            add(share.location, "services.zones.open", "must be from 0 to 1");
    }
    const bool isOpen = std::any_of(
        service.zones.begin(), service.zones.end(), [](const ZoneShare& share) { return share.open > 0; });
    if (!isOpen)
        add(service.location, "services.zones", "must open at least one zone");
}

void BundleChecker::checkCap(const Location& location, const std::string& field, const ShiftCap& cap)
{
    if (!(cap.share > 0 && cap.share <= 1))
        add(location, field + ".share", "must be over 0 and up to 1");
    checkRange(location, field + ".window_s", cap.window, MinWindow, MaxWindow);
}

void BundleChecker::checkShiftCaps(const Service& service)
{
    checkCap(service.location, "services.shift_cap", service.shiftCap);
    if (!service.failoverCap)
        return;
    checkCap(service.location, "services.failover_cap", *service.failoverCap);
    const double shiftRate = service.shiftCap.share * toSeconds(service.failoverCap->window);
    const double failoverRate = service.failoverCap->share * toSeconds(service.shiftCap.window);
    if (failoverRate < shiftRate)
        add(service.location, "services.failover_cap", "must not be slower than the shift cap");
}

void BundleChecker::checkRepeatable(const Service& service)
{
    for (const RepeatableRule& rule : service.repeatable) {
        if (!isMethod(rule.method))
            add(rule.location, "services.repeatable.method",
                "is not an HTTP method in upper case: '" + rule.method + "'");
        if (!rule.pathPrefix.starts_with('/'))
            add(rule.location, "services.repeatable.path_prefix", "must start with '/'");
    }
}

void BundleChecker::checkServiceTimes(const Service& service)
{
    checkRange(service.location, "services.maximum_deadline_ms", service.maximumDeadline, MinDeadline, MaxDeadline);
    if (service.defaultDeadline < MinDeadline || service.defaultDeadline > service.maximumDeadline)
        add(service.location, "services.default_deadline_ms", "must be from 1 ms to the maximum deadline");
    checkRange(service.location, "services.entry_ttl_s", service.entryTtl, MinTtl, MaxTtl);
    checkRange(service.location, "services.key_retention_h", service.keyRetention, MinRetention, MaxRetention);
}

Findings checkBundle(const Bundle& bundle) { return BundleChecker(bundle).check(); }

} // namespace saltvane::model
