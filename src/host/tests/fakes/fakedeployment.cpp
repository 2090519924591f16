/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/fakedeployment.h"

#include "control/icontrolreplica.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <type_traits>
#include <utility>

namespace saltvane::host::fakes {

namespace {

constexpr Duration TickPhaseStep = 1ms;
constexpr Duration OperatorDelay = 5ms;

} // namespace

FakeDeployment::FakeDeployment(FakeDeploymentOptions options)
    : options_(std::move(options))
{
    for (const settings::HostSettings& settings : options_.plan.hosts)
        zones_[settings.host] = settings.zone;
    network_ = std::make_unique<FakeNetwork>(FakeNetworkOptions {
        .time = &time_,
        .delay = [this](const HostId& from, const HostId& to) { return zoneDelay(zoneOf(from), zoneOf(to)); },
        .deliver = [this](const HostId& to, Event event) { host(to).deliver(std::move(event)); },
        .linkTimeout = options_.linkTimeout,
        .seed = options_.seed,
    });
    http_ = std::make_unique<FakeHttp>(FakeHttpOptions {
        .time = &time_,
        .deliver = [this](const HostId& to, Event event) { return host(to).deliver(std::move(event)); },
        .isCut = [this](const ZoneName& origin, const HostId& to) { return areZonesCut(origin, zoneOf(to)); },
    });
    makeHosts();
    makeTargets();
}

void FakeDeployment::makeHosts()
{
    const FakeHostEnvironment environment {
        .time = &time_,
        .network = network_.get(),
        .http = http_.get(),
        .toTarget = [this](const HostId& id, Incarnation incarnation,
                        requests::Action action) { execute(id, incarnation, std::move(action)); },
        .onAccess = [this](const HostId& id, const requests::AccessRecord& record) { recordAccess(id, record); },
    };
    Duration phase {};
    for (const settings::HostSettings& settings : options_.plan.hosts) {
        phase += TickPhaseStep;
        hosts_[settings.host] = std::make_unique<FakeHost>(
            settings, phase % TickInterval, options_.seed * 1000 + hosts_.size() * 17, environment);
    }
}

void FakeDeployment::makeTargets()
{
    const FakeTargetEnvironment environment {
        .time = &time_,
        .http = http_.get(),
        .delay = [this](const HostId& from, const ZoneName& zone) { return zoneDelay(zoneOf(from), zone); },
        .deliver = [this](const HostId& to, Incarnation incarnation,
                       requests::TargetEvent event) { host(to).deliver(incarnation, std::move(event)); },
        .isCut = [this](const ZoneName& zone, const HostId& to) { return areZonesCut(zone, zoneOf(to)); },
    };
    for (const FakeTargetOptions& target : options_.plan.targets) {
        auto created = std::make_unique<FakeTarget>(target, environment);
        targetsByAddress_[target.address] = created.get();
        targets_[target.target] = std::move(created);
    }
}

void FakeDeployment::startHosts()
{
    for (const auto& [id, host] : hosts_)
        host->start();
}

void FakeDeployment::startTargets()
{
    Duration phase {};
    for (const auto& [id, target] : targets_) {
        phase += 7ms;
        time_.after(phase, [started = target.get()] { started->start(); });
    }
}

bool FakeDeployment::bringUp(Duration limit)
{
    startHosts();
    startTargets();
    const Timestamp end = time_.now() + limit;
    if (!time_.runUntil([this] { return !controlLeader().isEmpty(); }, limit))
        return false;
    if (!putInForce(options_.plan.bundles.front(), {1}, end - time_.now()))
        return false;
    return time_.runUntil([this] { return areAllServing() && areAllTargetsOwned(); }, end - time_.now());
}

bool FakeDeployment::isInForceEverywhere(BundleVersion version)
{
    return std::all_of(hosts_.begin(), hosts_.end(),
        [&](const auto& item) { return !item.second->isUp() || item.second->status().inForceVersion == version; });
}

bool FakeDeployment::areAllServing()
{
    return std::all_of(hosts_.begin(), hosts_.end(), [](const auto& item) {
        return !item.second->isUp() || item.second->status().state == model::HostState::Serving;
    });
}

bool FakeDeployment::areAllTargetsOwned()
{
    std::set<TargetId> owned;
    for (const auto& [id, host] : hosts_) {
        if (!host->isUp())
            continue;
        const HostStatus status = host->status();
        owned.insert(status.hosts.front().ownedTargets.begin(), status.hosts.front().ownedTargets.end());
    }
    return std::all_of(targets_.begin(), targets_.end(), [&](const auto& item) {
        return !item.second->isUp() || item.second->isLeaving() || owned.contains(item.first);
    });
}

HostId FakeDeployment::controlLeader()
{
    for (const auto& [id, host] : hosts_) {
        if (host->isUp() && host->status().isControlLeader)
            return id;
    }
    return {};
}

HttpReply FakeDeployment::callAndWait(HttpCall call, Duration limit)
{
    HttpReply reply;
    bool isDone = false;
    http_->send(std::move(call), [&](const HttpReply& answered) {
        reply = answered;
        isDone = true;
    });
    (void)time_.runUntil([&] { return isDone; }, limit, 1ms);
    return reply;
}

Duration FakeDeployment::clientDelay(const RegionName& region, const HostId& host) const
{
    const model::Deployment& first = *options_.plan.first;
    const RegionIndex hostRegion = first.regionOf(*first.findZone(zoneOf(host)));
    return first.bundle().delays.toClients + first.delay(*first.findRegion(region), hostRegion);
}

HttpReply FakeDeployment::post(const HostId& host, const std::string& path, const std::string& json)
{
    return callAndWait({.host = host,
        .method = "POST",
        .path = path,
        .headers = {{"Content-Type", "application/json"}},
        .body = json,
        .oneWayDelay = OperatorDelay});
}

HttpReply FakeDeployment::get(const HostId& host, const std::string& path)
{
    return callAndWait({.host = host, .path = path, .oneWayDelay = OperatorDelay});
}

void FakeDeployment::cutZones(ZoneCut cut)
{
    zoneCut_ = std::move(cut);
    applyCuts();
}

void FakeDeployment::cutOff(const ZoneName& zone)
{
    cutZones([zone](const ZoneName& first, const ZoneName& second) { return (first == zone) != (second == zone); });
}

void FakeDeployment::cutOff(const HostId& host)
{
    hostCut_ = [host](const HostId& first, const HostId& second) { return (first == host) != (second == host); };
    applyCuts();
}

void FakeDeployment::heal()
{
    zoneCut_ = {};
    hostCut_ = {};
    applyCuts();
}

void FakeDeployment::recordAccess(const HostId& id, const requests::AccessRecord& record)
{
    access_.push_back(record);
    if (!record.isOwnerSide && !record.zone.isEmpty())
        served_[{id, record.service}] = host(id).incarnation();
}

bool FakeDeployment::hasServed(const HostId& host, const ServiceName& service) const
{
    const auto found = served_.find({host, service});
    return found != served_.end() && found->second == hosts_.at(host)->incarnation();
}

bool FakeDeployment::isCutOff(const HostId& host) const
{
    return std::any_of(
        hosts_.begin(), hosts_.end(), [&](const auto& other) { return network_->isCut(host, other.first); });
}

void FakeDeployment::applyCuts()
{
    network_->setCut([this](const HostId& first, const HostId& second) {
        return areZonesCut(zoneOf(first), zoneOf(second)) || (hostCut_ && hostCut_(first, second));
    });
}

std::vector<FakeHost*> FakeDeployment::hosts()
{
    std::vector<FakeHost*> all;
    for (const auto& [id, host] : hosts_)
        all.push_back(host.get());
    return all;
}

std::vector<FakeTarget*> FakeDeployment::targets()
{
    std::vector<FakeTarget*> all;
    for (const auto& [id, target] : targets_)
        all.push_back(target.get());
    return all;
}

std::vector<FakeTarget*> FakeDeployment::targetsOf(const ServiceName& service)
{
    std::vector<FakeTarget*> all = targets();
    std::erase_if(all, [&](const FakeTarget* target) { return target->options().service != service; });
    return all;
}

uint32_t FakeDeployment::overfilledTargets()
{
    return static_cast<uint32_t>(std::count_if(targets_.begin(), targets_.end(),
        [](const auto& item) { return item.second->record().maxInFlight > item.second->options().slots; }));
}

uint32_t FakeDeployment::duplicateRuns()
{
    std::map<std::string, uint64_t> runs;
    for (const auto& [id, target] : targets_) {
        for (const auto& [key, count] : target->record().runsByKey)
            runs[key] += count;
    }
    return static_cast<uint32_t>(
        std::count_if(runs.begin(), runs.end(), [](const auto& item) { return item.second > 1; }));
}

uint64_t FakeDeployment::runsOf(const std::string& idempotencyKey)
{
    return sumOver(&TargetRecord::runsByKey, idempotencyKey);
}

uint64_t FakeDeployment::runsOfCall(const std::string& call) { return sumOver(&TargetRecord::runsByCall, call); }

uint64_t FakeDeployment::sumOver(std::map<std::string, uint32_t> TargetRecord::*runs, const std::string& name) const
{
    uint64_t sum = 0;
    for (const auto& [id, target] : targets_) {
        const std::map<std::string, uint32_t>& counts = target->record().*runs;
        const auto found = counts.find(name);
        sum += found != counts.end() ? found->second : 0;
    }
    return sum;
}

Duration FakeDeployment::zoneDelay(const ZoneName& from, const ZoneName& to) const
{
    const model::Deployment& first = *options_.plan.first;
    return std::max(options_.sameZoneDelay, first.delay(*first.findZone(from), *first.findZone(to)));
}

const ZoneName& FakeDeployment::zoneOf(const HostId& host) const { return zones_.at(host); }

bool FakeDeployment::areZonesCut(const ZoneName& first, const ZoneName& second) const
{
    return zoneCut_ && first != second && (zoneCut_(first, second) || zoneCut_(second, first));
}

void FakeDeployment::execute(const HostId& host, Incarnation incarnation, requests::Action action)
{
    const auto dispatch = [&](auto&& typed) {
        using Type = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Type, requests::TargetStart>) {
            FakeTarget* target = targetsByAddress_.at(typed.address);
            dispatches_[{host, typed.dispatch.value}] = target;
            target->handle(host, incarnation, std::move(typed));
        } else if constexpr (requires { typed.dispatch; }) {
            if (const auto found = dispatches_.find({host, typed.dispatch.value}); found != dispatches_.end())
                found->second->handle(host, incarnation, typed);
        }
    };
    std::visit(dispatch, std::move(action));
}

} // namespace saltvane::host::fakes
