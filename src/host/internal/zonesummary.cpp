/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/zonesummary.h"

#include <algorithm>

namespace saltvane::host {

void ZoneSummary::update(const HostModules& modules)
{
    const model::Deployment& deployment = *modules.deployment;
    rooms_.clear();
    demands_.clear();
    servedElsewhere_.clear();
    for (uint32_t service = 0; service < deployment.serviceCount(); ++service) {
        for (uint32_t zone = 0; zone < deployment.zoneCount(); ++zone)
            rooms_.push_back({.service = {service}, .zone = {zone}});
        for (uint32_t region = 0; region < deployment.regionCount(); ++region)
            demands_.push_back({.service = {service}, .clientRegion = {region}});
    }
    ownHost_ = modules.self.host;
    addRooms(deployment, modules.ownRecord);
    addDemands(deployment, modules.ownRecord);
    for (const membership::HostView* view : modules.hostTable->hosts()) {
        if (view->health == membership::HostHealth::Alive)
            addRooms(deployment, view->record);
        if (view->health != membership::HostHealth::Dead)
            addDemands(deployment, view->record);
    }
}

void ZoneSummary::addRooms(const model::Deployment& deployment, const model::HostRecord& record)
{
    const std::optional<ZoneIndex> zone = deployment.findZone(record.zone);
    if (!zone)
        return;
    for (const model::ServiceRoom& room : record.services) {
        const std::optional<ServiceIndex> service = deployment.findService(room.service);
        if (!service)
            continue;
        steering::ZoneRoom& sum = rooms_[service->value * deployment.zoneCount() + zone->value];
        sum.room += room.room;
        sum.inFlight += room.inFlight;
        sum.queued += room.queued;
        sum.queueDelay = std::max(sum.queueDelay, room.queueDelay);
    }
}

void ZoneSummary::addDemands(const model::Deployment& deployment, const model::HostRecord& record)
{
    for (const model::ServiceDemand& demand : record.demands) {
        const std::optional<ServiceIndex> service = deployment.findService(demand.service);
        const std::optional<RegionIndex> region = deployment.findRegion(demand.clientRegion);
        if (!service || !region)
            continue;
        if (demand.concurrency > 0 && record.host != ownHost_)
            servedElsewhere_.insert(*service);
        demands_[service->value * deployment.regionCount() + region->value].concurrency += demand.concurrency;
    }
}

std::vector<ZoneStatus> ZoneSummary::statuses(const model::Deployment& deployment) const
{
    std::vector<ZoneStatus> statuses;
    for (const steering::ZoneRoom& room : rooms_) {
        if (room.service.value >= deployment.serviceCount() || room.zone.value >= deployment.zoneCount())
            continue;
        statuses.push_back({.zone = deployment.zone(room.zone).name,
            .service = deployment.service(room.service).name,
            .openShare = deployment.openShare(room.service, room.zone),
            .room = room.room,
            .inFlight = room.inFlight,
            .queued = room.queued});
    }
    return statuses;
}

} // namespace saltvane::host
