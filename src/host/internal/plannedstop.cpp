/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/plannedstop.h"

#include <algorithm>

namespace saltvane::host {

namespace {

/// The host must be idle for this long before it finishes, so that messages that others sent before they learned of the
/// stop have arrived.
constexpr Duration MinIdleTime = 500ms;

} // namespace

PlannedStop::PlannedStop(HostModules& modules, Outbox& outbox)
    : modules_(modules)
    , outbox_(outbox)
{
}

void PlannedStop::request(Timestamp now)
{
    if (isFinished_)
        return;
    if (isStopping())
        finish(modules_.terminateAll(now));
    else
        start(now);
}

void PlannedStop::tick(Timestamp now)
{
    if (!isStopping() || isFinished_)
        return;
    if (now - *startedAt_ >= modules_.options.settings.limits.stopTimeLimit) {
        finish(modules_.terminateAll(now));
        return;
    }
    const bool isIdle = hasHandedOver() && modules_.requestsInFlight() == 0 && !hasOutstandingCredits(now);
    if (!isIdle) {
        idleSince_.reset();
        return;
    }
    if (!idleSince_)
        idleSince_ = now;
    if (now - *idleSince_ >= MinIdleTime)
        finish(0);
}

void PlannedStop::start(Timestamp now)
{
    startedAt_ = now;
    modules_.directory->startLeaving(now);
    if (modules_.entry)
        modules_.entry->startStopping(now);
    outbox_.log(LogSeverity::Info, "event=stop_started in_flight=" + std::to_string(modules_.requestsInFlight()));
}

void PlannedStop::finish(uint32_t requestsCut)
{
    isFinished_ = true;
    const LogSeverity severity = requestsCut == 0 ? LogSeverity::Info : LogSeverity::Warning;
    outbox_.log(severity, "event=stop_finished requests_cut=" + std::to_string(requestsCut));
    outbox_.add(Action(StopFinished {requestsCut}));
}

bool PlannedStop::hasHandedOver() const { return modules_.directory->hasHandedOverAll() || !hasZonePeer(); }

bool PlannedStop::hasZonePeer() const
{
    const std::vector<model::HostRecord> peers = modules_.hostTable->servingHosts(modules_.self.zone);
    return std::any_of(peers.begin(), peers.end(),
        [this](const model::HostRecord& record) { return record.host != modules_.self.host; });
}

bool PlannedStop::hasOutstandingCredits(Timestamp now) const
{
    if (!modules_.deployment)
        return false;
    const std::vector<model::Service>& services = modules_.deployment->bundle().services;
    return std::any_of(services.begin(), services.end(),
        [&](const model::Service& service) { return modules_.creditIssuer->outstanding(service.name, now) > 0; });
}

} // namespace saltvane::host
