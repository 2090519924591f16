/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetset.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace saltvane::gateway {

namespace {

/// What a target told of its load counts for so long, less and less.
constexpr Duration LoadMemory = 1s;
/// A target's own word that is as new as this goes before the registry's sum.
constexpr Duration FreshLoad = 200ms;
/// Share of its service's rate that a slow target is sent: two gateways may both think that it is theirs for a moment.
constexpr double SlowStartShare = 0.8;
constexpr double SlowStartBurst = 1;
/// A zone opened again: its targets wait so long for the registry's word of them.
constexpr Duration ReopenHold = 4s;
/// The registry repeats its word of a target every 30 s: one that no registry host names for so long is forgotten
/// together with the registry host that it reported to.
constexpr Duration UnnamedLimit = 75s;
constexpr Duration RegistryMemory = 3s;
constexpr Duration FirstEjection = 250ms;
constexpr uint32_t MostDoublings = 4;
constexpr size_t MostRetired = 16384;
/// A target that is full counts as loaded by its queue as well.
constexpr uint32_t FullFactor = 3;

} // namespace

double GatewayTarget::load(Timestamp now) const
{
    const Duration age = now - loadAt;
    if (age >= LoadMemory)
        return inFlight;
    return inFlight + othersLoad * (1 - toSeconds(age) / toSeconds(LoadMemory));
}

void GatewayTarget::noteAnswered(Timestamp now)
{
    answeredAt = now;
    failures = 0;
    ejectedUntil = {};
}

void GatewayTarget::noteFailure(Timestamp now, bool isCertain)
{
    failures = std::max(failures + 1, isCertain ? FailuresToEject : 0);
    if (failures < FailuresToEject)
        return;
    const uint32_t doublings = std::min(failures - FailuresToEject, MostDoublings);
    ejectedUntil = now + FirstEjection * (1 << doublings);
}

void GatewayTarget::noteLoad(std::string_view text, Timestamp now)
{
    uint32_t running = 0;
    uint32_t waiting = 0;
    const char* const end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, running);
    if (first.ec != std::errc {} || first.ptr == end || *first.ptr != ',')
        return;
    if (std::from_chars(first.ptr + 1, end, waiting).ec != std::errc {})
        return;
    const uint32_t all = running + waiting;
    othersLoad = all > inFlight ? all - inFlight : 0;
    loadAt = now;
}

void GatewayTarget::noteSum(uint32_t inFlightOfAll, Timestamp now)
{
    if (now - loadAt < FreshLoad)
        return;
    othersLoad = inFlightOfAll > toldInFlight ? inFlightOfAll - toldInFlight : 0;
    loadAt = now;
}

void GatewayTarget::noteRefusal(Timestamp now)
{
    if (hasFreeSlots(now))
        return;
    othersLoad = std::max(othersLoad, record.slots * FullFactor);
    loadAt = now;
}

TargetSet::TargetSet(HostId self, std::map<ZoneName, RegionName> zones)
    : self_(std::move(self))
    , zones_(std::move(zones))
{
}

void TargetSet::note(const model::TargetReport& report, Timestamp now)
{
    reportedAt_ = now;
    noteOrders(report, now);
    for (const TargetId& target : report.retired) {
        if (retired_.size() >= MostRetired)
            retired_.erase(retired_.begin());
        retired_.insert(target);
        if (GatewayTarget* known = find(target))
            known->record.isLeaving = true;
    }
    for (const model::TargetRecord& record : report.targets)
        noteRecord(record, now);
    index();
}

void TargetSet::noteOrders(const model::TargetReport& report, Timestamp now)
{
    if (report.orders <= orders_)
        return;
    orders_ = report.orders;
    evacuated_ = {report.evacuatedZones.begin(), report.evacuatedZones.end()};
    for (auto& [id, target] : targets_) {
        const bool isClosed = evacuated_.contains(target->record.zone);
        if (target->isZoneClosed && !isClosed)
            target->heldUntil = now + ReopenHold;
        target->isZoneClosed = isClosed;
    }
}

void TargetSet::noteRecord(const model::TargetRecord& record, Timestamp now)
{
    if (displaced_.contains(record.target, now) || (record.isRecalled && isAddressTaken(record)))
        return;
    std::unique_ptr<GatewayTarget>& known = targets_[record.target];
    if (!known) {
        displaceOthers(record, now);
        known = std::make_unique<GatewayTarget>();
        known->hash = model::targetHash(record.target);
    } else if (record.sequence < known->record.sequence) {
        return;
    }
    const bool wasLeaving = known->record.isLeaving;
    known->record = record;
    known->record.isLeaving = record.isLeaving || wasLeaving || retired_.contains(record.target);
    const auto region = zones_.find(record.zone);
    known->region = region == zones_.end() ? RegionName {} : region->second;
    known->isZoneClosed = evacuated_.contains(record.zone);
    known->heardAt = now - record.age;
    known->namedAt = now;
    known->isSilent = record.age >= model::TargetSilenceLimit;
    known->heldUntil = {};
    known->slowUntil = known->heardAt + record.slowStartLeft;
}

bool TargetSet::isAddressTaken(const model::TargetRecord& record) const
{
    return std::ranges::any_of(targets_, [&](const auto& item) {
        return item.second && item.second->record.address == record.address && item.first != record.target;
    });
}

void TargetSet::displaceOthers(const model::TargetRecord& record, Timestamp now)
{
    std::erase_if(targets_, [&](const auto& item) {
        const bool isDisplaced
            = item.second && item.second->record.address == record.address && item.first != record.target;
        if (isDisplaced)
            displaced_.note(item.first, now);
        return isDisplaced;
    });
}

void TargetSet::noteLoads(const model::TargetLoads& loads, Timestamp now)
{
    sums_.clear();
    for (size_t i = 0; i < loads.targets.size(); ++i)
        sums_.emplace(loads.targets[i], loads.inFlight[i]);
    for (const auto& [id, target] : targets_) {
        const auto sum = sums_.find(target->hash);
        target->noteSum(sum == sums_.end() ? 0 : sum->second, now);
    }
}

model::TargetLoads TargetSet::takeOwnLoads()
{
    model::TargetLoads loads;
    for (const auto& [id, target] : targets_) {
        target->toldInFlight = target->inFlight;
        if (target->inFlight == 0)
            continue;
        loads.targets.push_back(target->hash);
        loads.inFlight.push_back(target->inFlight);
    }
    return loads;
}

void TargetSet::noteGone(const TargetId& target)
{
    if (GatewayTarget* known = find(target))
        known->record.isLeaving = true;
}

void TargetSet::expire(Timestamp now)
{
    if (now - reportedAt_ > RegistryMemory)
        return;
    const size_t before = targets_.size();
    std::erase_if(targets_, [&](const auto& item) {
        const GatewayTarget& target = *item.second;
        return (target.isSilent || now - target.namedAt > UnnamedLimit) && target.inFlight == 0;
    });
    if (targets_.size() != before)
        index();
}

void TargetSet::index()
{
    byService_.clear();
    for (const auto& [id, target] : targets_)
        byService_[target->record.service].push_back(target.get());
}

GatewayTarget* TargetSet::find(const TargetId& target) const
{
    const auto found = targets_.find(target);
    return found == targets_.end() ? nullptr : found->second.get();
}

const std::vector<GatewayTarget*>& TargetSet::ofService(const ServiceName& service) const
{
    static const std::vector<GatewayTarget*> None;
    const auto found = byService_.find(service);
    return found == byService_.end() ? None : found->second;
}

double TargetSet::slowStartBalance(const GatewayTarget& target, const model::RoutedService& service, Timestamp now)
{
    const double rate = service.slowStartPerSecond * SlowStartShare;
    return std::min(SlowStartBurst, target.slowStartBalance + toSeconds(now - target.slowStartAt) * rate);
}

bool TargetSet::isUsable(const GatewayTarget& target, const model::RoutedService& service, Timestamp now) const
{
    if (target.record.isLeaving || target.isSilent || target.isZoneClosed || now < target.heldUntil
        || now < target.ejectedUntil)
        return false;
    if (target.isOnTrial() && target.inFlight > 0)
        return false;
    if (!target.isSlowStarting(now))
        return true;
    const bool isOwn = target.record.slowStartHost == self_;
    return isOwn && slowStartBalance(target, service, now) >= 1;
}

void TargetSet::noteSent(GatewayTarget& target, const model::RoutedService& service, Timestamp now) const
{
    ++target.inFlight;
    if (!target.isSlowStarting(now))
        return;
    target.slowStartBalance = slowStartBalance(target, service, now) - 1;
    target.slowStartAt = now;
}

} // namespace saltvane::gateway
