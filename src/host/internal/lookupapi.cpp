/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/lookupapi.h"

#include "host/internal/fieldreader.h"
#include "host/internal/milliseconds.h"

#include <algorithm>

namespace saltvane::host {

LookUpApi::LookUpApi(HostModules& modules)
    : modules_(modules)
    // Hosts start their rotations at different offsets, so that they do not all list the same entry host first.
    , rotation_(std::hash<HostId> {}(modules.self.host))
{
}

ApiResponse LookUpApi::answer(const ApiRequest& request, Timestamp now)
{
    Query query {.client = request.remoteAddress};
    if (std::optional<ApiResponse> error = readQuery(request, query))
        return refuse(std::move(*error));
    if (modules_.ownRecord.state == model::HostState::Joining || !modules_.deployment)
        return refuse(makeError(503, "not-ready"));
    const model::Deployment& deployment = *modules_.deployment;
    const std::optional<ServiceIndex> service = deployment.findService(ServiceName(query.service));
    if (!service)
        return refuse(makeError(404, "unknown-service", "service"));
    modules_.counters.add(model::Counter::LookUps);
    return answerKnown(*service, deployment.clientRegion(query.client), now);
}

std::optional<ApiResponse> LookUpApi::readQuery(const ApiRequest& request, Query& query) const
{
    for (const QueryParameter& parameter : request.query) {
        if (parameter.name == "service") {
            if (!query.service.empty())
                return makeError(400, "bad-request", "service", "is listed twice");
            query.service = parameter.value;
        } else if (parameter.name == "client") {
            if (!isIpAddress(parameter.value))
                return makeError(400, "bad-request", "client", "must be an IP address");
            query.client = parameter.value;
        } else {
            return makeError(400, "bad-request", parameter.name, "is unknown");
        }
    }
    if (query.service.empty())
        return makeError(400, "bad-request", "service", "is missing");
    return std::nullopt;
}

ApiResponse LookUpApi::refuse(ApiResponse response)
{
    modules_.counters.add(model::Counter::LookUpsRefused);
    return response;
}

ApiResponse LookUpApi::answerKnown(ServiceIndex service, RegionIndex clientRegion, Timestamp now)
{
    const model::Deployment& deployment = *modules_.deployment;
    const ServiceName& name = deployment.service(service).name;
    return makeResponse(200,
        {{"service", name.value()}, {"client_region", deployment.region(clientRegion).name.value()},
            {"entry_hosts", entryHosts(service, clientRegion)},
            {"ttl_ms", toMilliseconds(modules_.steering->entryTtl(service))},
            {"bundle_version", deployment.bundle().version.value},
            {"state_age_ms", toMilliseconds(modules_.bundleReplica->age(now))},
            {"token", modules_.tokenIssuer->issue(name, now)}});
}

std::vector<LookUpApi::Tier> LookUpApi::tiers(ServiceIndex service, RegionIndex clientRegion) const
{
    struct Ranked {
        Duration delay;
        bool isOutsideRow = false; ///< The region's row of the service has no share for this zone now.
        ZoneIndex zone;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison
        auto operator<=>(const Ranked&) const = default;
    };
    const model::Deployment& deployment = *modules_.deployment;
    const std::vector<ZoneIndex> rowZones = modules_.steering->entryZones(service, clientRegion);
    std::vector<Ranked> ranked;
    for (const ZoneIndex zone : deployment.zonesByDelay(clientRegion)) {
        const bool isOutsideRow = std::find(rowZones.begin(), rowZones.end(), zone) == rowZones.end();
        ranked.push_back({deployment.delay(clientRegion, deployment.regionOf(zone)), isOutsideRow, zone});
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Tier> tiers;
    for (size_t i = 0; i < ranked.size(); ++i) {
        const bool isSameTier
            = i > 0 && ranked[i].delay == ranked[i - 1].delay && ranked[i].isOutsideRow == ranked[i - 1].isOutsideRow;
        if (!isSameTier)
            tiers.emplace_back();
        tiers.back().push_back(ranked[i].zone);
    }
    return tiers;
}

nlohmann::ordered_json LookUpApi::entryHosts(ServiceIndex service, RegionIndex clientRegion)
{
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    ++rotation_;
    for (const Tier& tier : tiers(service, clientRegion)) {
        std::vector<model::HostRecord> hosts;
        for (const ZoneIndex zone : tier) {
            std::vector<model::HostRecord> zoneHosts
                = modules_.hostTable->servingHosts(modules_.deployment->zone(zone).name);
            std::move(zoneHosts.begin(), zoneHosts.end(), std::back_inserter(hosts));
        }
        // Rotated, so that callers of one region do not all choose the same host.
        if (!hosts.empty())
            std::rotate(hosts.begin(), hosts.begin() + static_cast<ptrdiff_t>(rotation_ % hosts.size()), hosts.end());
        for (const model::HostRecord& host : hosts) {
            list.push_back({{"host", host.host.value()}, {"address", model::toString(host.entryAddress)},
                {"zone", host.zone.value()}});
        }
    }
    return list;
}

} // namespace saltvane::host
