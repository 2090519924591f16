/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/logtext.h"
#include "registry/internal/lookups.h"
#include "registry/internal/registrycore.h"

#include <algorithm>
#include <iterator>

/// The part of RegistryCore that distributes the plan, orders, targets, loads, suspects and limits.
namespace saltvane::registry {

namespace {

/// Gateways that are connected are told of each order, so that they need only those of the last moments.
constexpr size_t MaxReopenedZonesSent = 8;
/// Changes of targets are batched for this long.
constexpr Duration ReportInterval = 100ms;
/// How often the hosts that share the limits, and the live registry hosts, are updated.
constexpr Duration HoldersInterval = 200ms;
/// How often load sums are sent.
constexpr Duration LoadInterval = 300ms;
/// How often gateways are told their numbers while gateways come and go.
constexpr Duration NumbersInterval = 1s;
/// A registry host without a heartbeat for this long serves no gateway.
constexpr Duration LivenessTimeout = 1s;
/// Gateways with a heartbeat within it are sent plans, and are considered in the assignment of slow starts and loads.
constexpr Duration GatewayTimeout = 4s;

} // namespace

void RegistryCore::applyOrders(Timestamp now)
{
    const control::RoutingState& routing = replica_->routing();
    installPlanSettings(now); // Before the orders: how long a reopening matters depends on the plan.
    recallTargets(now); // Before the orders: an order without an incarnation applies to targets of the previous run.
    if (routing.planVersion.value != 0 && (!bundleReplica_->isReady() || bundleReplica_->age(now) > tickInterval()))
        distribute(now);
    if (routing.ordersPosition == appliedOrdersPosition_)
        return;
    // The order and its end may have been applied at once.
    for (const auto& [zone, position] : routing.reopenedZones) {
        if (position > std::max(appliedOrdersPosition_, recalledOrdersPosition_))
            targets_.onReopened(zone, now);
    }
    const LogPosition reportedOrders = std::exchange(appliedOrdersPosition_, routing.ordersPosition);
    evacuated_ = {routing.evacuatedZones.begin(), routing.evacuatedZones.end()};
    std::vector<model::RolloutOrder> rollouts;
    for (const auto& [service, order] : routing.rollouts)
        rollouts.push_back(order);
    rollouts_->setOrders(rollouts, now);
    model::TargetReport report = makeReport(now);
    report.ordersSince = reportedOrders;
    report.retired = drainNewlyRetired(now);
    if (!report.retired.empty())
        log(host::LogSeverity::Info,
            "event=targets_retired count=" + std::to_string(report.retired.size())
                + " last=" + report.retired.back().target.value()
                + " incarnation=" + std::to_string(report.retired.back().incarnation.value) + " orders="
                + std::to_string(report.orders.index.value) + " told=" + std::to_string(syncedGateways_.size()));
    sendReport(std::move(report), now);
}

std::vector<model::TargetIncarnation> RegistryCore::drainNewlyRetired(Timestamp now)
{
    const control::RoutingState& routing = replica_->routing();
    const auto& inOrder = routing.retiredTargets.inOrder();
    const uint64_t applied = std::exchange(appliedRetirements_, routing.retirements);
    // A snapshot of an earlier software version may count fewer than were applied: all of its entries count as new.
    const uint64_t added = routing.retirements >= applied ? routing.retirements - applied : inOrder.size();
    const auto count = static_cast<ptrdiff_t>(std::min<uint64_t>(added, inOrder.size()));
    std::vector<model::TargetIncarnation> retired(inOrder.end() - count, inOrder.end());
    // Oldest first, so that retired_ drops the oldest when it is full.
    for (const model::TargetIncarnation& entry : retired)
        applyRetirement(entry, now);
    return retired;
}

void RegistryCore::applyRetirement(const model::TargetIncarnation& entry, Timestamp now)
{
    retired_.record(entry);
    if (entry.incarnation != Incarnation {})
        return targets_.retire(entry);
    leaveResolver_.add(entry.target, now);
    const std::optional<Incarnation> known = targets_.incarnationOf(entry.target);
    if (!known)
        return;
    const model::TargetIncarnation instance {.target = entry.target, .incarnation = *known};
    // Retired at once: a leave that was resolved while this host was down may name an earlier incarnation.
    targets_.retire(instance);
    leaveResolver_.recordKnown(instance, now);
}

void RegistryCore::resolveLeaves(Timestamp now)
{
    if (!leaveResolver_.isDue(now))
        return;
    const LeaveResolver::Role role {.isLeader = replica_->isLeader(), .isGroupComplete = isGroupComplete(now)};
    std::vector<model::TargetIncarnation> due = leaveResolver_.drainDue(retired_, role, now);
    if (due.empty())
        return;
    if (!role.isLeader) {
        if (!replica_->leaderHost().isEmpty())
            send({{.to = replica_->leaderHost(), .message = model::TargetReport {.retired = std::move(due)}}});
        return;
    }
    for (const model::TargetIncarnation& entry : due) {
        log(host::LogSeverity::Info,
            "event=leave_resolved target=" + entry.target.value()
                + " incarnation=" + std::to_string(entry.incarnation.value));
        retire({}, entry, now);
    }
}

void RegistryCore::distribute(Timestamp now)
{
    std::vector<HostId> receivers;
    if (replica_->isLeader()) {
        for (const HostLocation& gateway : gateways(now))
            receivers.push_back(gateway.host);
    }
    bundleReplica_->setPeers({}, receivers, now);
    const control::RoutingState& routing = replica_->routing();
    std::optional<control::IBundleReplica::ControlView> view;
    if (routing.planVersion.value != 0 && replica_->proofAge(now) != Duration::max()) {
        view = {.position = routing.planPosition,
            .version = routing.planVersion,
            .content = routing.planContent,
            .proofAge = replica_->proofAge(now)};
    }
    bundleReplica_->setControlView(view, now);
    bundleReplica_->tick(now);
    (void)bundleReplica_->popInstalled(); // A registry host routes no requests by the plan.
}

std::vector<model::ReopenedZone> RegistryCore::recentlyReopenedZones(size_t maxCount, Timestamp now) const
{
    std::vector<model::ReopenedZone> zones;
    for (const auto& [zone, position] : replica_->routing().reopenedZones) {
        if (const std::optional<Duration> age = targets_.recentReopeningAge(zone, now))
            zones.push_back({.zone = zone, .position = position, .age = *age});
    }
    std::ranges::sort(zones, std::ranges::greater {}, &model::ReopenedZone::position);
    zones.resize(std::min(zones.size(), maxCount));
    return zones;
}

model::TargetReport RegistryCore::makeReport(Timestamp now) const
{
    const control::RoutingState& routing = replica_->routing();
    model::TargetReport report {.orders = routing.ordersPosition,
        .ordersSince = routing.ordersPosition,
        .evacuatedZones = {routing.evacuatedZones.begin(), routing.evacuatedZones.end()},
        .reopenedZones = recentlyReopenedZones(MaxReopenedZonesSent, now),
        .gateways = static_cast<uint32_t>(gateways(now).size()),
        .registryVoters
        = static_cast<uint32_t>(std::ranges::count_if(replica_->replicas(), &control::ReplicaInfo::isVoter))};
    for (const auto& [service, order] : routing.rollouts) {
        report.rollouts.push_back(order);
        report.rollouts.back().timeLimit = rollouts_->timeLeft(order, now);
    }
    return report;
}

void RegistryCore::reportTargets(Timestamp now)
{
    if (now < nextReportAt_)
        return;
    nextReportAt_ = now + ReportInterval;
    model::TargetReport report = makeReport(now);
    report.targets = targets_.drainUpdates(gateways(now), now);
    report.unchanged = targets_.drainUnchanged();
    if (!report.targets.empty() || !report.unchanged.empty() || areGatewaysRenumbered(now))
        sendReport(std::move(report), now);
}

bool RegistryCore::areGatewaysRenumbered(Timestamp now)
{
    if (now < nextNumbersAt_)
        return false;
    nextNumbersAt_ = now + NumbersInterval;
    const std::span<const HostLocation> all = gateways(now);
    if (std::ranges::equal(all, numberedGateways_, {}, &HostLocation::host))
        return false;
    numberedGateways_.clear();
    std::ranges::transform(all, std::back_inserter(numberedGateways_), &HostLocation::host);
    return true;
}

uint32_t RegistryCore::gatewayNumberOf(const HostId& gateway, Timestamp now) const
{
    const std::span<const HostLocation> all = gateways(now); // Sorted by id.
    const auto found = std::ranges::lower_bound(all, gateway, {}, &HostLocation::host);
    return found == all.end() || found->host != gateway ? 0 : static_cast<uint32_t>(found - all.begin()) + 1;
}

void RegistryCore::sendReport(model::TargetReport report, Timestamp now)
{
    for (const HostId& receiver : syncedGateways_) {
        report.gatewayNumber = gatewayNumberOf(receiver, now);
        send({{.to = receiver, .message = report}});
    }
}

/// Includes gateways without recent heartbeats: as long as their link is up, nothing would repeat a missed message.
void RegistryCore::sendToGateways(const model::Message& message)
{
    for (const HostId& gateway : syncedGateways_)
        send({{.to = gateway, .message = message}});
}

std::vector<HostLocation> RegistryCore::liveRegistryHosts(Timestamp now) const
{
    std::vector<HostLocation> live;
    for (const membership::RosterEntry* entry : roster_->receivedWithin(LivenessTimeout, now)) {
        const model::HostRecord& record = entry->record;
        if (record.isControl)
            live.push_back({.host = record.host, .zone = record.zone, .region = record.region});
    }
    return live;
}

bool RegistryCore::isGroupComplete(Timestamp now) const
{
    const std::vector<HostLocation> live = liveRegistryHosts(now);
    return std::ranges::all_of(replica_->replicas(), [&](const control::ReplicaInfo& member) {
        return member.host == self_ || std::ranges::find(live, member.host, &HostLocation::host) != live.end();
    });
}

void RegistryCore::reportLoads(Timestamp now)
{
    if (now < nextLoadsAt_)
        return;
    nextLoadsAt_ = now + LoadInterval;
    loads_.expire(now);
    const std::vector<HostId>& near = nearestGateways_.update(liveRegistryHosts(now), gateways(now));
    const model::TargetLoads changes = loads_.drainChanges();
    std::set<HostId> sent;
    for (const HostId& gateway : near) {
        const bool isNew = !loadSyncedGateways_.contains(gateway);
        send({{.to = gateway, .message = isNew ? loads_.published() : changes}});
        sent.insert(gateway);
    }
    loadSyncedGateways_ = std::move(sent);
}

void RegistryCore::reportSuspects(Timestamp now)
{
    const SuspectRelay::Updates updates = suspects_.drainUpdates(now);
    if (!updates.verdicts.requests.empty()) {
        log(host::LogSeverity::Warning,
            "event=verdicts_told count=" + std::to_string(updates.verdicts.requests.size())
                + " first=" + model::toString(updates.verdicts.requests.front().digest)
                + " blamed=" + std::to_string(suspects_.blamedCount()));
        sendToGateways(updates.verdicts);
    }
    if (!updates.unconfirmed.requests.empty()) {
        for (const HostId& gateway : nearestGateways_.update(liveRegistryHosts(now), gateways(now)))
            send({{.to = gateway, .message = updates.unconfirmed}});
    }
    for (const model::SuspectReport& report : {updates.verdicts, updates.unconfirmed}) {
        if (report.requests.empty())
            continue;
        for (const HostLocation& host : liveRegistryHosts(now))
            send({{.to = host.host, .message = report}});
    }
}

void RegistryCore::accept(const model::TargetReport& report, const HostId& from, Timestamp now)
{
    for (const model::TargetIncarnation& targetIncarnation : report.retired) {
        targets_.markLeaving(targetIncarnation);
        leaveResolver_.recordKnown(targetIncarnation, now);
    }
    model::TargetReport relayed {.retired = report.retired};
    for (const model::TargetRecord& record : report.targets) {
        const bool isNew
            = record.isStartExpected ? expectStart(record, from, now) : targets_.startSlowStart(record, now);
        if (isNew)
            nextReportAt_ = now; // Until then the gateways use the target at its full rate.
        // All gateways that a stopped target refuses report it.
        if (isNew || !record.isStartExpected)
            relayed.targets.push_back(record);
    }
    if (!relayed.retired.empty() || !relayed.targets.empty())
        relayFromGateway(relayed, from, now);
}

bool RegistryCore::expectStart(const model::TargetRecord& record, const HostId& from, Timestamp now)
{
    if (!targets_.expectStart(record, now))
        return false;
    if (targetEventLines_.trySpend(now)) {
        LogText line("target_start_expected");
        line.add("target", record.target.value()).add("told_by", from.value());
        log(host::LogSeverity::Info, line.text());
    }
    return true;
}

/// A gateway reports to the registry hosts nearest to it; these forward the report to the others, which don't.
void RegistryCore::accept(const model::BackpressureReport& report, const HostId& from, Timestamp now)
{
    if (!credits_)
        return;
    credits_->recordTargetLimits(from, report.notices, now);
    relayFromGateway(report, from, now);
}

void RegistryCore::relayFromGateway(const model::Message& message, const HostId& from, Timestamp now)
{
    if (!syncedGateways_.contains(from))
        return;
    for (const HostLocation& host : liveRegistryHosts(now))
        send({{.to = host.host, .message = message}});
}

void RegistryCore::reportLimits(Timestamp now)
{
    if (!credits_)
        return;
    const model::BackpressureReport report {.notices = credits_->targetLimits().drainUpdates(now)};
    if (report.notices.empty())
        return;
    for (const HostId& gateway : nearestGateways_.update(liveRegistryHosts(now), gateways(now)))
        send({{.to = gateway, .message = report}});
}

void RegistryCore::sendLimits(const HostId& host, Timestamp now)
{
    if (!credits_)
        return;
    if (model::BackpressureReport report {.notices = credits_->targetLimits().all(now)}; !report.notices.empty())
        send({{.to = host, .message = std::move(report)}});
}

void RegistryCore::sendPeers(const HostId& gateway, Timestamp now)
{
    const membership::RosterEntry* sender = roster_->find(gateway);
    if (sender == nullptr)
        return;
    if (!peersUpdatedAt_ || now - *peersUpdatedAt_ >= ReportInterval) {
        peersUpdatedAt_ = now;
        std::vector<model::PeerRecord> serving;
        for (const membership::RosterEntry* entry : servingGateways(*roster_, settings_.region, now)) {
            const model::HostRecord& record = entry->record;
            serving.push_back({.host = record.host,
                .zone = record.zone,
                .region = record.region,
                .frontAddress = record.entryAddress});
        }
        peers_.update(std::move(serving));
    }
    const model::HostRecord& record = sender->record;
    send({{.to = gateway,
        .message = model::PeerReport {
            .peers = peers_.peersOf({.host = record.host, .zone = record.zone, .region = record.region})}}});
}

/// Applies the parts of the newest plan that a registry host itself uses: client accounts and slow starts.
void RegistryCore::installPlanSettings(Timestamp now)
{
    const control::RoutingState& routing = replica_->routing();
    if (routing.planPosition == planSettingsPosition_ || routing.planVersion.value == 0)
        return;
    planSettingsPosition_ = routing.planPosition;
    const std::optional<model::RoutePlan> plan = planSettingsReader_.readWithoutRoutes(routing.planContent);
    if (!plan)
        return log(host::LogSeverity::Error,
            "event=plan_settings_unreadable version=" + std::to_string(routing.planVersion.value));
    if (!credits_)
        credits_.emplace(self_, now);
    credits_->limits().install(plan->accounts, planSettingsPosition_);
    Duration longest {};
    for (const model::RoutedService& service : plan->services)
        longest = std::max(longest, service.slowStart);
    targets_.setLongestSlowStart(longest);
}

void RegistryCore::updateCredits(Timestamp now)
{
    if (!credits_)
        credits_.emplace(self_, now);
    credits_->tick(now);
    if (now < nextHoldersAt_)
        return;
    nextHoldersAt_ = now + HoldersInterval;
    std::vector<HostId> holders;
    for (const control::ReplicaInfo& replica : replica_->replicas()) {
        if (replica.isVoter)
            holders.push_back(replica.host);
    }
    credits_->setHolders(std::move(holders), replica_->proofAge(now), now);
    std::vector<CreditPool::Peer> peers;
    for (const HostLocation& host : liveRegistryHosts(now))
        peers.push_back({.host = host.host, .isSameRegion = host.region == settings_.region});
    credits_->setPeers(std::move(peers));
}

/// The first messages on a new link, so that a starting gateway has the verdicts before it knows any target.
void RegistryCore::sendVerdicts(const HostId& host, Timestamp now)
{
    for (model::SuspectReport& report : suspects_.verdicts(now))
        send({{.to = host, .message = std::move(report)}});
}

std::span<const HostLocation> RegistryCore::gateways(Timestamp now) const
{
    if (gatewaysUpdatedAt_ && now - *gatewaysUpdatedAt_ < ReportInterval)
        return gateways_;
    gatewaysUpdatedAt_ = now;
    gateways_.clear();
    for (const membership::RosterEntry* entry : roster_->receivedWithin(GatewayTimeout, now)) {
        const model::HostRecord& record = entry->record;
        if (!record.isControl)
            gateways_.push_back({.host = record.host, .zone = record.zone, .region = record.region});
    }
    return gateways_;
}

} // namespace saltvane::registry
