/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/targetsync.h"

#include <algorithm>
#include <utility>

namespace saltvane::host {

TargetSync::TargetSync(HostModules& modules)
    : modules_(modules)
{
}

void TargetSync::reportUse()
{
    std::set<TargetId> newlyIdle = std::exchange(busy_, {});
    for (const steering::PoolTargetStatus& status : modules_.pool->targets()) {
        modules_.directory->recordUse(status.target, status.inFlight, status.concurrencyLimit);
        newlyIdle.erase(status.target);
        if (status.inFlight > 0)
            busy_.insert(status.target);
        if (const auto peak = peaks_.find(status.target); peak != peaks_.end())
            peak->second.current = std::max(peak->second.current, status.inFlight);
    }
    for (const TargetId& target : newlyIdle)
        modules_.directory->recordUse(target, 0, 0);
}

bool TargetSync::applyChanges(Timestamp now)
{
    const std::vector<membership::TargetChange> changes = modules_.directory->drainChanges();
    for (const membership::TargetChange& change : changes) {
        if (change.kind == membership::TargetChange::Kind::Owned) {
            applyOwned(change, now);
            continue;
        }
        peaks_.erase(change.announcement.target);
        modules_.pool->remove(change.announcement.target, now);
    }
    return !changes.empty();
}

void TargetSync::applyOwned(const membership::TargetChange& change, Timestamp now)
{
    const membership::Announcement& announcement = change.announcement;
    const steering::PoolTarget target {
        .target = announcement.target,
        .incarnation = announcement.incarnation,
        .service = announcement.service,
        .address = announcement.address,
        .slots = announcement.slots,
        .connections = announcement.connections,
        .isLeaving = announcement.state == membership::TargetState::Leaving,
        .reportedBusyElsewhere = busyElsewhere(change),
        .foreignInFlight = change.foreignInFlight,
        .concurrencyLimit = change.concurrencyLimit,
    };
    modules_.pool->upsert(target, now);
}

uint32_t TargetSync::busyElsewhere(const membership::TargetChange& change)
{
    // The target's report is older than this host's own count and may still include requests that ran here recently.
    Peak& peak = peaks_[change.announcement.target];
    const uint32_t ownRecentPeak = std::max(peak.current, peak.previous);
    peak.previous = std::exchange(peak.current, 0);
    const uint32_t accountedFor = ownRecentPeak + change.foreignInFlight;
    const uint32_t busy = change.announcement.busySlots;
    return busy > accountedFor ? busy - accountedFor : 0;
}

} // namespace saltvane::host
