/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/registrycore.h"

#include <algorithm>

/// What RegistryCore tells the gateways: the plan, orders, targets and loads.
namespace saltvane::registry {

namespace {

/// Reports of targets are gathered for so long.
constexpr Duration ReportPeriod = 100ms;
/// Registry hosts that hold parts of the limits, and those that are heard, are looked through this often.
constexpr Duration HoldersPeriod = 200ms;
/// Loads of all gateways are told this often.
constexpr Duration LoadPeriod = 300ms;
/// A registry host that is silent for so long serves nobody.
constexpr Duration LivingFor = 1s;
/// Gateways heard of within it are sent plans as they change, and count where targets and loads are shared out.
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
            targets_.wantWordOf(zone, now);
    }
    evacuated_ = {routing.evacuatedZones.begin(), routing.evacuatedZones.end()};
    model::TargetReport report = makeReport();
    report.retired = noteRetired();
    tellGateways(report);
}

std::vector<model::TargetIncarnation> RegistryCore::noteRetired()
{
    const auto& inOrder = replica_->routing().retiredTargets.inOrder();
    const auto known = std::find(inOrder.rbegin(), inOrder.rend(), lastRetired_);
    // Oldest first: of those that are too many to keep, the oldest is to be forgotten.
    std::vector<model::TargetIncarnation> retired(known.base(), inOrder.end());
    if (!inOrder.empty())
        lastRetired_ = inOrder.back();
    for (model::TargetIncarnation& start : retired) {
        // An order that doesn't tell the start binds the one that is known now.
        if (start.incarnation.value == 0)
            start.incarnation = targets_.incarnationOf(start.target);
        retired_.note(start);
    }
    return retired;
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
    model::TargetReport report = makeReport();
    report.targets = targets_.takeNews(gateways(now), now);
    if (!report.targets.empty())
        tellGateways(report);
}

/// Also gateways that have said nothing for long: their links stand, and what they miss now nothing would repeat.
void RegistryCore::tellGateways(const model::Message& message)
{
    for (const HostId& gateway : toldAll_)
        send({{.to = gateway, .message = message}});
}

std::vector<Gateway> RegistryCore::livingRegistryHosts(Timestamp now) const
{
    std::vector<Gateway> living;
    for (const membership::RosterEntry* entry : roster_->heardWithin(LivingFor, now)) {
        const model::HostRecord& record = entry->record;
        if (record.isControl)
            living.push_back({.host = record.host, .zone = record.zone, .region = record.region});
    }
    return living;
}

void RegistryCore::reportLoads(Timestamp now)
{
    if (now < nextLoadsAt_)
        return;
    nextLoadsAt_ = now + LoadPeriod;
    loads_.expire(now);
    const std::vector<HostId>& near = nearGateways_.update(livingRegistryHosts(now), gateways(now));
    const model::TargetLoads changes = loads_.takeChanges();
    std::set<HostId> told;
    for (const HostId& gateway : near) {
        const bool isNew = !toldLoads_.contains(gateway);
        send({{.to = gateway, .message = isNew ? loads_.told() : changes}});
        told.insert(gateway);
    }
    toldLoads_ = std::move(told);
}

void RegistryCore::reportSuspects(Timestamp now)
{
    const SuspectRelay::News news = suspects_.takeNews(now);
    if (!news.verdicts.requests.empty()) {
        log(host::LogSeverity::Warning,
            "event=verdicts_told count=" + std::to_string(news.verdicts.requests.size())
                + " first=" + model::toString(news.verdicts.requests.front().digest)
                + " blamed=" + std::to_string(suspects_.blamedCount()));
        tellGateways(news.verdicts);
    }
    if (!news.rest.requests.empty()) {
        for (const HostId& gateway : nearGateways_.update(livingRegistryHosts(now), gateways(now)))
            send({{.to = gateway, .message = news.rest}});
    }
    for (const model::SuspectReport& report : {news.verdicts, news.rest}) {
        if (report.requests.empty())
            continue;
        for (const Gateway& host : livingRegistryHosts(now))
            send({{.to = host.host, .message = report}});
    }
}

void RegistryCore::accept(const model::TargetReport& report, const HostId& from, Timestamp now)
{
    for (const model::TargetIncarnation& start : report.retired)
        targets_.noteLeaving(start);
    relayFromGateway(report, from, now);
}

/// Gateways tell the registry hosts near them: these pass it on to the others, which don't.
void RegistryCore::accept(const model::BackpressureReport& report, const HostId& from, Timestamp now)
{
    if (!credits_)
        return;
    model::BackpressureReport newer;
    for (const model::BackpressureNotice& notice : report.notices) {
        if (const auto known = credits_->targetLimits().note(notice, now))
            newer.notices.push_back(*known);
    }
    // A gateway that missed the end of a limit would ask for credits that nobody has.
    if (!newer.notices.empty())
        send({{.to = from, .message = std::move(newer)}});
    relayFromGateway(report, from, now);
}

void RegistryCore::relayFromGateway(const model::Message& message, const HostId& from, Timestamp now)
{
    if (!toldAll_.contains(from))
        return;
    for (const Gateway& host : livingRegistryHosts(now))
        send({{.to = host.host, .message = message}});
}

void RegistryCore::reportLimits(Timestamp now)
{
    if (!credits_)
        return;
    const model::BackpressureReport report {.notices = credits_->targetLimits().takeNews(now)};
    if (report.notices.empty())
        return;
    for (const HostId& gateway : nearGateways_.update(livingRegistryHosts(now), gateways(now)))
        send({{.to = gateway, .message = report}});
}

void RegistryCore::sendLimits(const HostId& host, Timestamp now)
{
    if (!credits_)
        return;
    if (model::BackpressureReport report {.notices = credits_->targetLimits().all(now)}; !report.notices.empty())
        send({{.to = host, .message = std::move(report)}});
}

void RegistryCore::updateCredits(Timestamp now)
{
    if (!credits_)
        credits_.emplace(self_, now);
    const control::RoutingState& routing = replica_->routing();
    if (routing.planPosition != accountsAsOf_ && routing.planVersion.value != 0) {
        accountsAsOf_ = routing.planPosition;
        if (const auto accounts = accountReader_.readAccounts(routing.planContent))
            credits_->limits().install(*accounts);
        else
            log(host::LogSeverity::Error,
                "event=accounts_unreadable version=" + std::to_string(routing.planVersion.value));
    }
    credits_->tick(now);
    if (now < nextHoldersAt_)
        return;
    nextHoldersAt_ = now + HoldersPeriod;
    std::vector<HostId> holders;
    for (const control::ReplicaInfo& replica : replica_->replicas()) {
        if (replica.isVoter)
            holders.push_back(replica.host);
    }
    credits_->setHolders(std::move(holders), replica_->proofAge(now), now);
    std::vector<CreditPool::Peer> peers;
    for (const Gateway& host : livingRegistryHosts(now))
        peers.push_back({.host = host.host, .isNear = host.region == settings_.region});
    credits_->setPeers(std::move(peers));
}

/// Before anything else is said on a new link: a gateway that starts hears them before it hears of any target.
void RegistryCore::sendVerdicts(const HostId& host, Timestamp now)
{
    for (model::SuspectReport& report : suspects_.verdicts(now))
        send({{.to = host, .message = std::move(report)}});
}

std::span<const Gateway> RegistryCore::gateways(Timestamp now) const
{
    if (gatewaysAt_ && now - *gatewaysAt_ < ReportPeriod)
        return gateways_;
    gatewaysAt_ = now;
    gateways_.clear();
    for (const membership::RosterEntry* entry : roster_->heardWithin(GatewayMemory, now)) {
        const model::HostRecord& record = entry->record;
        if (!record.isControl)
            gateways_.push_back({.host = record.host, .zone = record.zone, .region = record.region});
    }
    return gateways_;
}

} // namespace saltvane::registry
