/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/ownrecord.h"

#include <algorithm>

namespace saltvane::host {

namespace {

/// Queued requests per usable slot that credits are granted for; same value as OwnerRequestsOptions::maxQueuedPerSlot.
constexpr double MaxQueuedPerSlot = 1.0;

std::vector<model::ServiceRoom> serviceRooms(const HostModules& modules, Timestamp now)
{
    std::vector<model::ServiceRoom> rooms;
    for (const steering::PoolRoom& room : modules.pool->rooms()) {
        rooms.push_back({.service = room.service,
            .targets = room.targets,
            .slots = room.slots,
            .room = room.room,
            .inFlight = room.inFlight,
            .queued = modules.owner->queued(room.service),
            .queueDelay = modules.owner->queueDelay(room.service, now)});
    }
    return rooms;
}

std::vector<model::ServiceDemand> serviceDemands(const HostModules& modules)
{
    std::vector<model::ServiceDemand> demands;
    if (!modules.steering)
        return demands;
    const model::Deployment& deployment = *modules.deployment;
    for (const steering::RegionDemand& demand : modules.steering->ownDemand()) {
        if (demand.concurrency <= 0)
            continue;
        demands.push_back({.service = deployment.service(demand.service).name,
            .clientRegion = deployment.region(demand.clientRegion).name,
            .concurrency = demand.concurrency});
    }
    return demands;
}

} // namespace

model::HostRecord makeOwnRecord(const HostModules& modules, model::HostState state, Timestamp now)
{
    model::HostRecord record {
        .host = modules.self.host,
        .incarnation = modules.self.incarnation,
        .zone = modules.self.zone,
        .region = modules.self.region,
        .linkAddress = modules.self.linkAddress,
        .entryAddress = modules.self.entryAddress,
        .isControl = modules.self.isControl,
        .isControlLeader = isProvenLeader(modules, now),
        .state = state,
        .services = serviceRooms(modules, now),
        .demands = serviceDemands(modules),
        .ownedTargets = modules.directory->ownedTargets(),
    };
    if (modules.deployment) {
        record.inForce = modules.deployment->position();
        record.inForceVersion = modules.deployment->bundle().version;
    }
    return record;
}

bool isProvenLeader(const HostModules& modules, Timestamp now)
{
    return modules.replica && modules.replica->isLeader() && modules.replica->isCurrent(now);
}

HostId knownControlLeader(const HostModules& modules, Timestamp now)
{
    if (modules.replica && modules.replica->isCurrent(now))
        return modules.replica->leaderHost();
    const membership::HostView* freshest = nullptr;
    for (const membership::HostView* view : modules.hostTable->hosts()) {
        if (!view->record.isControlLeader || view->health != membership::HostHealth::Alive)
            continue;
        if (freshest == nullptr || view->age < freshest->age)
            freshest = view;
    }
    return freshest != nullptr ? freshest->record.host : HostId {};
}

uint32_t creditCapacity(const steering::PoolRoom& room)
{
    if (room.room == 0)
        return 0;
    const auto queueCapacity = static_cast<uint32_t>(room.room * MaxQueuedPerSlot);
    return room.room + std::max(1U, queueCapacity);
}

} // namespace saltvane::host
