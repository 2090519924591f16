/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/bundleinstaller.h"

#include "host/internal/ownrecord.h"

#include <algorithm>
#include <set>
#include <utility>

namespace saltvane::host {

namespace {

void addOnce(std::vector<HostId>& hosts, const HostId& host)
{
    if (!host.isEmpty() && std::find(hosts.begin(), hosts.end(), host) == hosts.end())
        hosts.push_back(host);
}

} // namespace

BundleInstaller::BundleInstaller(HostModules& modules, Outbox& outbox)
    : modules_(modules)
    , outbox_(outbox)
{
}

void BundleInstaller::updateControlView(Timestamp now)
{
    if (!modules_.replica)
        return;
    const control::BundleRecord* inForce = modules_.replica->inForce();
    if (inForce == nullptr || !modules_.replica->isCurrent(now)) {
        modules_.bundleReplica->setControlView(std::nullopt, now);
        return;
    }
    const control::IBundleReplica::ControlView view {.position = inForce->approved,
        .version = inForce->version,
        .content = inForce->content,
        .proofAge = modules_.replica->proofAge(now)};
    modules_.bundleReplica->setControlView(view, now);
}

void BundleInstaller::updatePeers(Timestamp now)
{
    modules_.bundleReplica->setPeers(pullSources(), pushReceivers(now), now);
}

void BundleInstaller::installNew(Timestamp now)
{
    const std::optional<control::IBundleReplica::InForce> inForce = modules_.bundleReplica->popInstalled();
    if (!inForce)
        return;
    const std::string version = std::to_string(inForce->version.value);
    Result<model::Bundle, Findings> bundle = settings::parseBundle(*inForce->content, "bundle " + version);
    if (!bundle) {
        modules_.counters.add(model::Counter::BundlesRefused);
        outbox_.log(LogSeverity::Error, "event=bundle_unusable version=" + version);
        return;
    }
    // A revert repeats the content of an earlier version under a version number of its own.
    bundle.value().version = inForce->version;
    modules_.install(std::make_shared<const model::Deployment>(std::move(bundle.value()), inForce->position), now);
    outbox_.log(LogSeverity::Info,
        "event=bundle_installed version=" + version + " term=" + std::to_string(inForce->position.term.value)
            + " index=" + std::to_string(inForce->position.index.value));
}

std::vector<HostId> BundleInstaller::pullSources() const
{
    std::vector<HostId> sources;
    addOnce(sources, modules_.hostTable->relayOf(modules_.self.zone));
    for (const settings::ControlHost& control : modules_.options.settings.controlHosts)
        addOnce(sources, control.host);
    for (const membership::HostView* view : modules_.hostTable->hosts()) {
        if (view->record.zone == modules_.self.zone && view->health != membership::HostHealth::Dead)
            addOnce(sources, view->record.host);
    }
    std::erase(sources, modules_.self.host);
    return sources;
}

std::vector<HostId> BundleInstaller::pushReceivers(Timestamp now) const
{
    std::vector<HostId> receivers;
    std::set<ZoneName> zones;
    const bool isLeader = isProvenLeader(modules_, now);
    const bool isRelay = modules_.hostTable->isRelay();
    for (const membership::HostView* view : modules_.hostTable->hosts()) {
        if (view->health == membership::HostHealth::Dead)
            continue;
        if (isRelay && view->record.zone == modules_.self.zone)
            addOnce(receivers, view->record.host);
        zones.insert(view->record.zone);
    }
    if (isLeader) {
        for (const ZoneName& zone : zones)
            addOnce(receivers, modules_.hostTable->relayOf(zone));
    }
    std::erase(receivers, modules_.self.host);
    return receivers;
}

} // namespace saltvane::host
