/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/registrycore.h"

#include <functional>

/// What RegistryCore tells the gateways: the plan, orders, targets and loads.
namespace saltvane::registry {

namespace {

/// Reports of targets are gathered for so long.
constexpr Duration ReportPeriod = 100ms;
/// Loads of all gateways are told this often.
constexpr Duration LoadPeriod = 300ms;
/// A registry host that is silent for so long serves nobody.
constexpr Duration LivingFor = 1s;
/// Gateways heard of within it are sent reports and plans.
constexpr Duration GatewayMemory = 4s;

} // namespace

void RegistryCore::noteOrders(Timestamp now)
{
    const control::RoutingState& routing = replica_->routing();
    if (routing.planVersion.value != 0 && (!holder_->isReady() || holder_->age(now) > tickPeriod()))
        distribute(now);
    if (routing.ordersPosition == ordersSeen_)
        return;
    ordersSeen_ = routing.ordersPosition;
    // Their targets may have turned slow meanwhile: gateways wait for word of them.
    for (const ZoneName& zone : evacuated_) {
        if (!routing.evacuatedZones.contains(zone))
            targets_.wantWordOf(zone);
    }
    evacuated_ = {routing.evacuatedZones.begin(), routing.evacuatedZones.end()};
    model::TargetReport report = makeReport();
    for (const TargetId& target : routing.retiredTargets) {
        if (retired_.insert(target).second)
            report.retired.push_back(target);
    }
    for (const Gateway& gateway : gateways(now))
        send({{.to = gateway.host, .message = report}});
}

void RegistryCore::distribute(Timestamp now)
{
    std::vector<HostId> receivers;
    if (replica_->isLeader()) {
        for (const Gateway& gateway : gateways(now))
            receivers.push_back(gateway.host);
    }
    holder_->setPeers({}, receivers, now);
    const control::RoutingState& routing = replica_->routing();
    std::optional<control::IBundleHolder::ControlView> view;
    if (routing.planVersion.value != 0 && replica_->proofAge(now) != Duration::max()) {
        view = {.position = routing.planPosition,
            .version = routing.planVersion,
            .content = routing.planContent,
            .proofAge = replica_->proofAge(now)};
    }
    holder_->setControlView(view, now);
    holder_->tick(now);
    (void)holder_->takeInstalled(); // This host serves no requests by it.
}

model::TargetReport RegistryCore::makeReport() const
{
    const control::RoutingState& routing = replica_->routing();
    return {.orders = routing.ordersPosition,
        .evacuatedZones = {routing.evacuatedZones.begin(), routing.evacuatedZones.end()}};
}

void RegistryCore::reportTargets(Timestamp now)
{
    if (now < nextReportAt_)
        return;
    nextReportAt_ = now + ReportPeriod;
    const std::vector<Gateway> receivers = gateways(now);
    model::TargetReport report = makeReport();
    report.targets = targets_.takeNews(receivers, now);
    if (report.targets.empty())
        return;
    for (const Gateway& gateway : receivers)
        send({{.to = gateway.host, .message = report}});
}

bool RegistryCore::isNearestTo(const Gateway& gateway, Timestamp now) const
{
    const auto rankOf = [&](const HostId& host, const ZoneName& zone, const RegionName& region) {
        const int nearness = zone == gateway.zone ? 2 : static_cast<int>(region == gateway.region);
        return std::pair(nearness, std::hash<std::string> {}(host.value() + gateway.host.value()));
    };
    const auto own = rankOf(self_, settings_.zone, settings_.region);
    for (const membership::RosterEntry* entry : roster_->heardWithin(LivingFor, now)) {
        const model::HostRecord& record = entry->record;
        if (record.isControl && rankOf(record.host, record.zone, record.region) > own)
            return false;
    }
    return true;
}

void RegistryCore::reportLoads(Timestamp now)
{
    if (now < nextLoadsAt_)
        return;
    nextLoadsAt_ = now + LoadPeriod;
    const model::TargetLoads sum = loads_.sum(now);
    for (const Gateway& gateway : gateways(now)) {
        if (isNearestTo(gateway, now))
            send({{.to = gateway.host, .message = sum}});
    }
}

std::vector<Gateway> RegistryCore::gateways(Timestamp now) const
{
    std::vector<Gateway> known;
    for (const membership::RosterEntry* entry : roster_->heardWithin(GatewayMemory, now)) {
        const model::HostRecord& record = entry->record;
        if (!record.isControl)
            known.push_back({.host = record.host, .zone = record.zone, .region = record.region});
    }
    return known;
}

} // namespace saltvane::registry
