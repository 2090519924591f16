/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/startup.h"

#include <algorithm>

namespace saltvane::host {

namespace {

constexpr Duration RowsTimeout = 300ms;
constexpr Duration RowsRequestInterval = 50ms;
constexpr Duration OtherZonesDelay = 100ms;
constexpr size_t MaxOtherZoneSources = 3;

bool canShareRows(const membership::HostView& view)
{
    return view.health == membership::HostHealth::Alive && view.record.state != model::HostState::Joining;
}

} // namespace

Startup::Startup(HostModules& modules, Outbox& outbox)
    : modules_(modules)
    , outbox_(outbox)
    , rowsRequestTimer_(RowsRequestInterval)
{
}

void Startup::tick(Timestamp now)
{
    if (isServing_ || !modules_.options.settings.isEntry)
        return;
    if (!modules_.deployment || !modules_.bundleReplica->isReady()) {
        readySince_.reset();
        return;
    }
    if (!readySince_)
        readySince_ = now;
    if (hasAdoptedAll() || now - *readySince_ >= RowsTimeout) {
        startServing();
        return;
    }
    if (rowsRequestTimer_.isTimeToRun(now))
        requestRows(now);
}

void Startup::handle(const model::RowsReply& reply, Timestamp now)
{
    if (isServing_ || !modules_.steering || reply.rows.empty())
        return;
    modules_.steering->adoptRows(reply.rows, now);
    hasAdoptedRows_ = true;
}

bool Startup::hasAdoptedAll() const
{
    return hasAdoptedRows_ && modules_.steering->servedRows().size() == modules_.steering->rows().size();
}

void Startup::requestRows(Timestamp now)
{
    const bool withOtherZones = now - *readySince_ >= OtherZonesDelay;
    for (const HostId& source : rowSources(withOtherZones))
        outbox_.send({source, model::RowsRequest {}});
}

void Startup::startServing()
{
    isServing_ = true;
    modules_.entry->setReady(true);
    outbox_.log(LogSeverity::Info,
        "event=serving adopted_rows=" + std::string(hasAdoptedRows_ ? "yes" : "no")
            + " bundle=" + std::to_string(modules_.deployment->bundle().version.value));
}

std::vector<HostId> Startup::rowSources(bool withOtherZones) const
{
    struct Candidate {
        Duration delay;
        HostId host;
        auto operator<=>(const Candidate&) const = default;
    };
    const model::Deployment& deployment = *modules_.deployment;
    const std::optional<ZoneIndex> ownZone = deployment.findZone(modules_.self.zone);
    std::vector<HostId> sources;
    std::vector<Candidate> others;
    for (const membership::HostView* view : modules_.hostTable->hosts()) {
        if (!canShareRows(*view))
            continue;
        if (view->record.zone == modules_.self.zone) {
            sources.push_back(view->record.host);
            continue;
        }
        const std::optional<ZoneIndex> zone = deployment.findZone(view->record.zone);
        if (ownZone && zone)
            others.push_back({deployment.delay(*ownZone, *zone), view->record.host});
    }
    if (!withOtherZones && !sources.empty())
        return sources;
    std::sort(others.begin(), others.end());
    others.resize(std::min(others.size(), MaxOtherZoneSources));
    for (Candidate& other : others)
        sources.push_back(std::move(other.host));
    return sources;
}

} // namespace saltvane::host
