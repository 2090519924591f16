/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/routecarryover.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace saltvane::steering {

namespace {

std::vector<double> mapZonesByName(
    const std::vector<double>& shares, const model::Deployment& before, const model::Deployment& after)
{
    std::vector<double> result(after.zoneCount() + 1);
    result.back() = shares.back();
    for (uint32_t zone = 0; zone < before.zoneCount(); ++zone) {
        const auto newZone = after.findZone(before.zone({zone}).name);
        result[newZone ? newZone->value : after.zoneCount()] += shares[zone];
    }
    return result;
}

RegionIndex formerRegion(const model::Deployment& before, const RegionName& name)
{
    if (const auto region = before.findRegion(name))
        return *region;
    return before.findRegion(before.bundle().defaultClientRegion).value_or(RegionIndex {});
}

} // namespace

ServiceRoutes makeRoutes(const model::Deployment& deployment, ServiceIndex service, uint64_t seed)
{
    ServiceRoutes routes;
    routes.index = service;
    routes.rows.resize(deployment.regionCount());
    routes.zones.resize(deployment.zoneCount());
    routes.failedZones.resize(deployment.zoneCount());
    routes.demands.resize(deployment.regionCount());
    std::mt19937_64 random(seed + service.value);
    for (auto& row : routes.rows) {
        row.shares.assign(deployment.zoneCount() + 1, 0);
        row.shares.back() = 1;
        row.plan = row.shares;
        row.point = random();
    }
    return routes;
}

ServiceRoutes carryOver(ServiceRoutes old, const model::Deployment& before, const model::Deployment& after,
    ServiceIndex service, uint64_t seed)
{
    auto routes = makeRoutes(after, service, seed);
    for (uint32_t region = 0; region < after.regionCount(); ++region) {
        const auto& name = after.region({region}).name;
        const auto former = formerRegion(before, name);
        const auto& from = old.rows[former.value];
        auto& to = routes.rows[region];
        to.shares = mapZonesByName(from.shares, before, after);
        to.plan = mapZonesByName(from.plan, before, after);
        to.compile();
        if (!before.findRegion(name))
            continue;
        to.point = from.point;
        to.demand = from.demand;
        routes.demands[region] = old.demands[former.value];
    }
    for (uint32_t zone = 0; zone < after.zoneCount(); ++zone) {
        if (const auto former = before.findZone(after.zone({zone}).name))
            routes.zones[zone] = old.zones[former->value];
    }
    routes.history = std::move(old.history);
    routes.lastStep = old.lastStep;
    routes.hasServed = old.hasServed;
    return routes;
}

std::vector<double> sharesFromPeerRow(const model::RouteRow& row, const model::Deployment& deployment)
{
    std::vector<double> shares(deployment.zoneCount() + 1);
    const size_t count = std::min(row.zones.size(), row.shares.size());
    for (size_t index = 0; index < count; ++index) {
        const auto zone = deployment.findZone(row.zones[index]);
        if (zone)
            shares[zone->value] += std::max(0.0, row.shares[index]);
    }
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    if (sum > 1) {
        for (auto& share : shares)
            share /= sum;
    }
    shares.back() = std::max(0.0, 1 - sum);
    return shares;
}

} // namespace saltvane::steering
