/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetset.h"

#include <algorithm>
#include <utility>

namespace saltvane::gateway {

namespace {

/// Share of its service's rate that a slow target is sent: two gateways may both think that it is theirs for a moment.
constexpr double SlowStartShare = 0.8;
constexpr double SlowStartBurst = 1;
/// The registry repeats its word of a target every 30 s: one that no registry host names for so long is forgotten
/// together with the registry host that it reported to.
constexpr Duration UnnamedLimit = 75s;
constexpr Duration RegistryMemory = 3s;
constexpr size_t MostRetired = 16384;
constexpr size_t MostFormerBackpressure = 1024;
/// The room of so many targets is counted anew in a tick, so that all 1,356 of a large deployment are in under half a
/// second of ticks of 20 ms, which is as often as shares of regions may move.
constexpr size_t RecountsPerTick = 64;

} // namespace

TargetSet::TargetSet(Place place, const std::map<ZoneName, RegionName>& zones)
    : place_(std::move(place))
    , retired_(MostRetired)
{
    for (const auto& [zone, region] : zones)
        zones_.emplace(zone, TargetZone {.name = zone, .region = region});
}

TargetSet::~TargetSet() = default;

void TargetSet::note(const model::TargetReport& report, Timestamp now)
{
    reportedAt_ = now;
    ++reports_;
    noteOrders(report, now);
    noteRetired(report.retired);
    for (const model::TargetRecord& record : report.targets)
        noteRecord(record, now);
}

void TargetSet::noteOrders(const model::TargetReport& report, Timestamp now)
{
    if (report.orders <= orders_)
        return;
    orders_ = report.orders;
    for (const ZoneName& zone : report.evacuatedZones)
        (void)zoneOf(zone);
    for (auto& [name, zone] : zones_) {
        const bool isClosed = std::ranges::find(report.evacuatedZones, name) != report.evacuatedZones.end();
        if (zone.isClosed && !isClosed) {
            zone.reopenedAt = now;
            zone.reopenedByReport = reports_;
        }
        zone.isClosed = isClosed;
    }
}

void TargetSet::noteRetired(std::span<const model::TargetIncarnation> retired)
{
    for (model::TargetIncarnation start : retired) {
        GatewayTarget* known = findById(start.target);
        // An order that doesn't tell the start binds the one that is known now.
        if (start.incarnation.value == 0 && known != nullptr)
            start.incarnation = known->record.incarnation;
        retired_.note(start);
        if (known != nullptr && known->record.incarnation <= start.incarnation)
            noteLeaving(*known);
    }
}

void TargetSet::noteRecord(const model::TargetRecord& record, Timestamp now)
{
    GatewayTarget* known = findById(record.target);
    const bool isKnownStart = known != nullptr && known->record.incarnation == record.incarnation;
    if (isKnownStart) {
        if (record.sequence >= known->record.sequence)
            update(*known, record, now);
        return;
    }
    if (known != nullptr && record.incarnation < known->record.incarnation)
        return;
    if (displaced_.contains({.target = record.target, .incarnation = record.incarnation}, now) || !mayAdd(record))
        return;
    const bool isAddressUsed = atAddress(record.address) != nullptr;
    displaceOtherAt(record, now);
    if (known != nullptr) {
        replaced_.push_back(known->start());
        remove(*known);
    }
    GatewayTarget& target = add(record);
    if (isAddressUsed)
        target.addressSince = now;
    update(target, record, now);
}

bool TargetSet::mayAdd(const model::TargetRecord& record) const
{
    const GatewayTarget* other = atAddress(record.address);
    if (other == nullptr || other->id() == record.target)
        return true;
    // Starts that don't tell are taken in the order in which word of them comes.
    const bool isOfEarlier = record.incarnation.value != 0 && record.incarnation < other->record.incarnation;
    return !record.isRecalled && !isOfEarlier;
}

GatewayTarget& TargetSet::add(const model::TargetRecord& record)
{
    std::unique_ptr<GatewayTarget>& slot = targets_[record.target];
    slot = std::make_unique<GatewayTarget>();
    GatewayTarget& target = *slot;
    target.record = record;
    target.record.isLeaving = false; // update() tells.
    target.zone = &zoneOf(record.zone);
    target.hash = model::targetHash(record.target);
    target.startHash = model::incarnationHash(target.start());
    target.sumsAt = &sumsAt_;
    if (const auto former = formerBackpressure_.extract(target.start()))
        target.backpressure = former.mapped();
    target.position = all_.size();
    all_.push_back(&target);
    byStartHash_.insert_or_assign(target.startHash, &target);
    enter(target);
    return target;
}

void TargetSet::enter(GatewayTarget& target)
{
    byAddress_.insert_or_assign(target.record.address, &target);
    if (!target.record.isLeaving)
        services_[target.record.service].ranking.add(target, nearnessOf(target));
}

void TargetSet::leave(GatewayTarget& target)
{
    if (atAddress(target.record.address) == &target)
        byAddress_.erase(target.record.address);
    Service& service = services_[target.record.service];
    if (!target.record.isLeaving)
        service.ranking.remove(target, nearnessOf(target));
    Service::Room& room = service.rooms[target.zone->region];
    room.slots -= target.countedSlots;
    room.load -= target.countedLoad;
    room.targets -= target.countedSlots > 0 ? 1 : 0;
    target.countedSlots = 0;
    target.countedLoad = 0;
}

void TargetSet::remove(GatewayTarget& target)
{
    leave(target);
    if (!target.backpressure.isEmpty() && formerBackpressure_.size() < MostFormerBackpressure)
        formerBackpressure_.emplace(target.start(), target.backpressure);
    all_.back()->position = target.position;
    std::swap(all_[target.position], all_.back());
    all_.pop_back();
    byStartHash_.erase(target.startHash);
    targets_.erase(target.record.target);
}

void TargetSet::update(GatewayTarget& target, const model::TargetRecord& record, Timestamp now)
{
    const bool wasLeaving = target.record.isLeaving;
    const bool isMoved = record.address != target.record.address || record.zone != target.record.zone
        || record.service != target.record.service || record.slots != target.record.slots;
    if (isMoved) {
        displaceOtherAt(record, now);
        leave(target);
    }
    target.record = record;
    target.record.isLeaving = wasLeaving;
    if (isMoved) {
        target.zone = &zoneOf(record.zone);
        enter(target);
    }
    if (record.isLeaving || retired_.contains(target.start()))
        noteLeaving(target);
    target.heardAt = now - record.age;
    target.namedAt = now;
    target.namedByReport = reports_;
    target.slowUntil = target.heardAt + record.slowStartLeft;
    target.namedHook.unlink();
    byNamed_.push_back(target);
    target.isSilent = record.age >= model::TargetSilenceLimit;
    target.silentHook.unlink();
    if (target.isSilent)
        silent_.push_back(target);
    recount(target, now);
}

void TargetSet::displaceOtherAt(const model::TargetRecord& record, Timestamp now)
{
    GatewayTarget* other = atAddress(record.address);
    if (other == nullptr || other->id() == record.target)
        return;
    displaced_.note(other->start(), now);
    replaced_.push_back(other->start());
    remove(*other);
}

GatewayTarget* TargetSet::atAddress(const model::Address& address) const
{
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() ? nullptr : found->second;
}

TargetZone& TargetSet::zoneOf(const ZoneName& name)
{
    return zones_.try_emplace(name, TargetZone {.name = name, .region = {}}).first->second;
}

Nearness TargetSet::nearnessOf(const GatewayTarget& target) const
{
    if (target.zone->region != place_.region)
        return Nearness::Away;
    return target.zone->name == place_.zone ? Nearness::Zone : Nearness::Region;
}

void TargetSet::noteLoads(const model::TargetLoads& loads, Timestamp now)
{
    sumsAt_ = now;
    if (!loads.isChange) {
        for (GatewayTarget& target : summed_)
            target.sumInFlight = 0;
        summed_.clear();
    }
    for (size_t i = 0; i < loads.targets.size(); ++i) {
        const auto found = byStartHash_.find(loads.targets[i]);
        if (found == byStartHash_.end())
            continue;
        GatewayTarget& target = *found->second;
        target.sumInFlight = loads.inFlight[i];
        target.summedHook.unlink();
        if (target.sumInFlight > 0)
            summed_.push_back(target);
    }
}

model::TargetLoads TargetSet::takeOwnLoads()
{
    for (GatewayTarget& target : told_)
        target.toldInFlight = 0;
    told_.clear();
    model::TargetLoads loads;
    for (GatewayTarget& target : busy_) {
        target.toldInFlight = target.inFlight;
        told_.push_back(target);
        loads.targets.push_back(target.startHash);
        loads.inFlight.push_back(target.inFlight);
    }
    return loads;
}

void TargetSet::noteLeaving(const model::TargetIncarnation& start) { noteRetired({&start, 1}); }

void TargetSet::noteGone(const model::TargetIncarnation& start)
{
    if (GatewayTarget* known = find(start))
        noteLeaving(*known);
}

void TargetSet::noteLeaving(GatewayTarget& target)
{
    if (std::exchange(target.record.isLeaving, true))
        return;
    services_[target.record.service].ranking.remove(target, nearnessOf(target));
}

void TargetSet::tick(Timestamp now)
{
    expire(now);
    for (size_t i = 0; i < std::min(all_.size(), RecountsPerTick); ++i) {
        nextRecount_ = (nextRecount_ + 1) % all_.size();
        recount(*all_[nextRecount_], now);
    }
}

void TargetSet::recount(GatewayTarget& target, Timestamp now)
{
    // Counted without a look at credits, which come and go several times a second.
    const bool isResting = now < target.backpressure.restUntil;
    const bool isCounted = !isResting && target.isAvailable(now) && !target.isSlowStarting(now);
    const double slots = isCounted ? target.usableSlots() : 0;
    const double load = isCounted ? target.load(now) : 0;
    Service::Room& room = services_[target.record.service].rooms[target.zone->region];
    room.slots += slots - target.countedSlots;
    room.load += load - target.countedLoad;
    room.targets += (slots > 0 ? 1 : 0);
    room.targets -= (target.countedSlots > 0 ? 1 : 0);
    target.countedSlots = slots;
    target.countedLoad = load;
}

void TargetSet::expire(Timestamp now)
{
    if (now - reportedAt_ > RegistryMemory)
        return;
    std::vector<GatewayTarget*> gone;
    for (GatewayTarget& target : silent_) {
        if (target.inFlight == 0)
            gone.push_back(&target);
    }
    for (GatewayTarget& target : byNamed_) {
        const bool isDue = now - target.namedAt > UnnamedLimit && target.inFlight == 0;
        if (!isDue)
            break;
        if (!target.isSilent)
            gone.push_back(&target);
    }
    for (GatewayTarget* target : gone)
        remove(*target);
}

std::vector<model::TargetIncarnation> TargetSet::takeReplaced() { return std::exchange(replaced_, {}); }

GatewayTarget* TargetSet::findById(const TargetId& target) const
{
    const auto found = targets_.find(target);
    return found == targets_.end() ? nullptr : found->second.get();
}

GatewayTarget* TargetSet::find(const model::TargetIncarnation& start) const
{
    GatewayTarget* known = findById(start.target);
    return known != nullptr && known->record.incarnation == start.incarnation ? known : nullptr;
}

TargetRanking* TargetSet::ranking(const ServiceName& service)
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.ranking;
}

size_t TargetSet::countOf(const ServiceName& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.ranking.size();
}

ServiceRoom TargetSet::roomOf(const ServiceName& service) const
{
    ServiceRoom all;
    const auto found = services_.find(service);
    if (found == services_.end())
        return all;
    for (const auto& [region, room] : found->second.rooms) {
        if (room.targets == 0)
            continue;
        ++all.regions;
        all.allSlots += room.slots;
        if (region != place_.region)
            continue;
        all.homeSlots = room.slots;
        all.homeLoad = room.load;
    }
    return all;
}

double TargetSet::slowStartBalance(const GatewayTarget& target, const model::RoutedService& service, Timestamp now)
{
    const double rate = service.slowStartPerSecond * SlowStartShare;
    return std::min(SlowStartBurst, target.slowStartBalance + toSeconds(now - target.slowStartAt) * rate);
}

bool TargetSet::isUsable(const GatewayTarget& target, const model::RoutedService& service, Timestamp now) const
{
    if (!target.isOpen(now))
        return false;
    if (!target.isSlowStarting(now))
        return true;
    const bool isOwn = target.record.slowStartHost == place_.self;
    return isOwn && slowStartBalance(target, service, now) >= 1;
}

void TargetSet::noteSent(GatewayTarget& target, const model::RoutedService& service, Timestamp now)
{
    if (++target.inFlight == 1)
        busy_.push_back(target);
    if (!target.isSlowStarting(now))
        return;
    target.slowStartBalance = slowStartBalance(target, service, now) - 1;
    target.slowStartAt = now;
}

void TargetSet::noteReleased(GatewayTarget& target)
{
    if (target.inFlight > 0 && --target.inFlight == 0)
        target.busyHook.unlink();
}

} // namespace saltvane::gateway
