/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/ownersync.h"

#include "host/internal/ownrecord.h"

#include <utility>

namespace saltvane::host {

OwnerSync::OwnerSync(HostModules& modules)
    : modules_(modules)
{
}

void OwnerSync::updateCapacities(Timestamp now)
{
    std::set<ServiceName> withoutCapacity = std::exchange(servicesWithCapacity_, {});
    // A leaving host grants no credits: if it cannot hand its targets over, it would otherwise renew its credit windows
    // until the time limit of the stop.
    const bool isLeaving = modules_.ownRecord.state == model::HostState::Leaving;
    for (const steering::PoolRoom& room : modules_.pool->rooms()) {
        modules_.creditIssuer->setCapacity(room.service, isLeaving ? 0 : creditCapacity(room), now);
        withoutCapacity.erase(room.service);
        servicesWithCapacity_.insert(room.service);
    }
    for (const ServiceName& service : withoutCapacity)
        modules_.creditIssuer->setCapacity(service, 0, now);
}

void OwnerSync::updateOwners(Timestamp now)
{
    if (!modules_.deployment)
        return;
    owners_.clear();
    ownerHosts_.clear();
    addOwner(modules_.ownRecord);
    for (const membership::HostView* view : modules_.hostTable->hosts()) {
        if (view->health == membership::HostHealth::Alive)
            addOwner(view->record);
    }
    modules_.creditStore->setOwners(owners_, now);
}

void OwnerSync::addOwner(const model::HostRecord& record)
{
    if (record.state == model::HostState::Joining)
        return;
    const model::Deployment& deployment = *modules_.deployment;
    const std::optional<ZoneIndex> ownZone = deployment.findZone(modules_.self.zone);
    const std::optional<ZoneIndex> zone = deployment.findZone(record.zone);
    if (!ownZone || !zone)
        return;
    for (const model::ServiceRoom& room : record.services) {
        if (room.room == 0)
            continue;
        owners_.push_back({.host = record.host,
            .service = room.service,
            .zone = record.zone,
            .delay = deployment.delay(*ownZone, *zone)});
        if (record.host != modules_.self.host)
            ownerHosts_.insert(record.host);
    }
}

} // namespace saltvane::host
