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

/// The registry lists each target every 30 s. A target that no registry host lists for this long is
/// removed, since the registry host it reported to is lost as well.
constexpr Duration UnlistedTimeout = 75s;
constexpr Duration RegistryTimeout = 3s;
constexpr size_t MaxRetired = 16384;
constexpr size_t MaxFormerBackpressure = 1024;
/// Targets whose capacity is recounted per tick: with ticks of 20 ms, all 1,356 targets of a large deployment are
/// recounted in less than half a second, as often as shares of regions may move.
constexpr size_t CapacityUpdatesPerTick = 64;
/// Targets that are considered for one probe.
constexpr size_t MaxProbeCandidates = 8;
/// Longer than an acknowledged order takes to reach a gateway.
constexpr Duration NewVersionDelay = 3s;
/// Longer than a refusal takes to the registry and the expectation of a start back.
constexpr Duration RefusalRepeatInterval = 1s;

} // namespace

TargetSet::TargetSet(
    Location location, const std::map<ZoneName, RegionName>& zones, const settings::SlowStartBound& slowStart)
    : location_(std::move(location))
    , slowStartShare_(slowStart)
    , retired_(MaxRetired)
{
    for (const auto& [zone, region] : zones)
        zones_.emplace(zone, TargetZone {.name = zone, .region = region});
}

TargetSet::~TargetSet() = default;

void TargetSet::applyReport(const model::TargetReport& report, const HostId& from, Timestamp now)
{
    reportedAt_ = now;
    reportedBy_ = from;
    ++reports_;
    reportedOrders_ = report.orders;
    if (report.gateways > 0)
        slowStartShare_.setGateways(report.gatewayNumber, report.gateways);
    applyOrders(report, now);
    applyRetired(report.retired, now);
    if (report.ordersSince <= completeOrders_)
        completeOrders_ = std::max(completeOrders_, report.orders);
    for (const model::TargetRecord& record : report.targets)
        applyRecord(record, now);
    applyUnchanged(report.unchanged, now);
}

void TargetSet::applyUnchanged(std::span<const uint64_t> incarnationHashes, Timestamp now)
{
    for (const uint64_t hash : incarnationHashes) {
        if (const auto found = byIncarnationHash_.find(hash); found != byIncarnationHash_.end())
            markListed(*found->second, now);
    }
}

void TargetSet::markListed(GatewayTarget& target, Timestamp now)
{
    target.lastListedAt = now;
    target.listedHook.unlink();
    byLastListed_.push_back(target);
}

void TargetSet::applyOrders(const model::TargetReport& report, Timestamp now)
{
    if (report.orders <= orders_)
        return;
    const LogPosition known = std::exchange(orders_, report.orders);
    for (const ZoneName& zone : report.evacuatedZones)
        (void)zoneOf(zone);
    for (auto& [name, zone] : zones_) {
        const bool isClosed = std::ranges::find(report.evacuatedZones, name) != report.evacuatedZones.end();
        if (zone.isClosed && !isClosed)
            markReopened(zone, report.orders, now);
        zone.isClosed = isClosed;
    }
    // A zone may have been closed and reopened without a report in between.
    for (const model::ReopenedZone& reopened : report.reopenedZones) {
        if (reopened.position > known)
            markReopened(zoneOf(reopened.zone), reopened.position, now - reopened.age);
    }
    rollouts_.apply(report.rollouts, now);
}

void TargetSet::markReopened(TargetZone& zone, const LogPosition& position, Timestamp reopenedAt) const
{
    zone.reopenedAt = reopenedAt;
    zone.reopenedPosition = position;
    zone.reopenedByReport = reports_;
}

void TargetSet::applyRetired(std::span<const model::TargetIncarnation> entries, Timestamp now)
{
    // Of orders that are known already, an entry without an incarnation may have been resolved by a later one.
    const bool areOrdersKnown = reportedOrders_ < completeOrders_;
    std::vector<TargetId> newlyUnresolved;
    for (const model::TargetIncarnation& entry : entries) {
        const bool isUnresolved = entry.incarnation == Incarnation {};
        if (areOrdersKnown && isUnresolved)
            continue;
        if (retired_.record(entry) && isUnresolved)
            newlyUnresolved.push_back(entry.target);
    }
    for (const model::TargetIncarnation& entry : entries) {
        if (GatewayTarget* known = findById(entry.target))
            updateRetirement(*known, now);
    }
    // An incarnation that was known before the order has left, even if the registry hosts in touch know only earlier
    // ones.
    for (const TargetId& target : newlyUnresolved) {
        if (GatewayTarget* known = findById(target); known != nullptr && retired_.isUnresolved(target))
            known->isLeaveUnresolved = false;
    }
}

void TargetSet::updateRetirement(GatewayTarget& target, Timestamp now)
{
    if (retired_.contains(target.targetIncarnation())) {
        target.isLeaveUnresolved = false;
        return markLeaving(target);
    }
    if (retired_.isUnresolved(target.id())) {
        target.isLeaveUnresolved = target.isLeaveUnresolved || !target.record.isLeaving;
        return markLeaving(target);
    }
    if (!std::exchange(target.isLeaveUnresolved, false))
        return;
    target.record.isLeaving = false;
    addToRanking(target, now);
}

void TargetSet::applyRecord(const model::TargetRecord& record, Timestamp now)
{
    GatewayTarget* known = findById(record.target);
    const bool isKnownStart = known != nullptr && known->record.incarnation == record.incarnation;
    if (isKnownStart) {
        const bool isOutdated = this->isOutdated(record, *known, now);
        // The host that received the last report knows as well whether a start is expected, unless it has restarted.
        const bool isOfRestartedHost = record.isRecalled && record.age < model::TargetHeartbeatTimeout;
        if (!isOutdated || !record.isStartExpected || isOfRestartedHost)
            updateSlowStart(*known, record, now);
        if (!isOutdated)
            update(*known, record, now);
        return;
    }
    if (known != nullptr && record.incarnation < known->record.incarnation)
        return;
    if (displaced_.contains({.target = record.target, .incarnation = record.incarnation}, now) || !mayAdd(record))
        return;
    const bool isAddressUsed = atAddress(record.address) != nullptr;
    std::unique_ptr<model::TargetRecord> displaced = displaceOtherAt(record, now);
    if (known != nullptr) {
        replaced_.push_back(known->targetIncarnation());
        remove(*known);
    }
    GatewayTarget& target = add(record, now);
    updateSlowStart(target, record, now);
    if (isAddressUsed)
        target.addressSince = now;
    target.displaced = std::move(displaced);
    update(target, record, now);
}

void TargetSet::updateSlowStart(GatewayTarget& target, const model::TargetRecord& record, Timestamp now)
{
    const Timestamp receivedAt = now - record.age;
    // Each record may be of another start, or of a late report: none ends a slow start that another one named.
    if (record.incarnation.value == 0) {
        target.statedSlowUntil
            = std::max({target.statedSlowUntil, target.slowUntil, receivedAt + record.slowStartLeft});
        target.slowUntil = target.statedSlowUntil;
    }
    if (record.isStartExpected) {
        if (!target.isStartExpected(now)) {
            target.startExpectedSince = now;
            target.startExpectedBy = reportedBy_;
        }
        return;
    }
    if (!target.startExpectedSince)
        return;
    const bool isReportedSlow = record.slowStartLeft > Duration::zero() && receivedAt > *target.startExpectedSince;
    const bool isReportedLater = receivedAt >= *target.startExpectedSince + *target.serviceSlowStart;
    if (isReportedSlow || isReportedLater || reportedBy_ == target.startExpectedBy)
        target.startExpectedSince.reset();
}

bool TargetSet::isOutdated(const model::TargetRecord& record, const GatewayTarget& known, Timestamp now) const
{
    const bool isLower = record.sequence < known.record.sequence;
    const bool isIncarnationStated = record.incarnation.value != 0;
    if (isIncarnationStated || record.isRecalled)
        return isLower;
    // The target may have started again and count from the beginning, which each registry host learns by itself: the
    // one that received the last report knows more.
    return now - record.age < known.lastReportAt && (isLower || reportedBy_ != known.reportedBy);
}

bool TargetSet::mayAdd(const model::TargetRecord& record) const
{
    const GatewayTarget* other = atAddress(record.address);
    if (other == nullptr || other->id() == record.target)
        return true;
    // Records without an incarnation are accepted in the order in which they arrive.
    const bool isOfEarlier = record.incarnation.value != 0 && record.incarnation < other->record.incarnation;
    return !record.isRecalled && !isOfEarlier;
}

GatewayTarget& TargetSet::add(const model::TargetRecord& record, Timestamp now)
{
    std::unique_ptr<GatewayTarget>& slot = targets_[record.target];
    slot = std::make_unique<GatewayTarget>();
    GatewayTarget& target = *slot;
    target.record = record;
    target.record.isLeaving = false; // Set by update().
    target.zone = &zoneOf(record.zone);
    target.hash = model::targetHash(record.target);
    target.incarnationHash = model::incarnationHash(target.targetIncarnation());
    target.totalsAt = &totalsAt_;
    target.reachableSince = &reachableSince_;
    if (const auto former = formerBackpressure_.extract(target.targetIncarnation()))
        target.backpressure = former.mapped();
    target.position = all_.size();
    all_.push_back(&target);
    byIncarnationHash_.insert_or_assign(target.incarnationHash, &target);
    addToIndexes(target, now);
    return target;
}

TargetVersionGroup& TargetSet::groupOf(const model::TargetRecord& record, Timestamp now)
{
    auto& versions = services_[record.service].versions;
    if (const auto known = versions.find(record.version); known != versions.end())
        return known->second;
    if (versions.size() >= MaxVersions)
        std::erase_if(versions, [](const auto& item) { return item.second.ranking.size() == 0; });
    if (versions.size() >= MaxVersions)
        return versions.rbegin()->second;
    return versions.emplace(record.version, TargetVersionGroup {.firstSeenAt = now}).first->second;
}

void TargetSet::addToRanking(GatewayTarget& target, Timestamp now)
{
    target.group = &groupOf(target.record, now);
    target.group->ranking.add(target, proximityOf(target));
    ++services_[target.record.service].rankedByRegion[target.zone->region];
    target.group->slots += target.record.slots;
}

void TargetSet::removeFromRanking(GatewayTarget& target)
{
    target.group->ranking.remove(target, proximityOf(target));
    --services_[target.record.service].rankedByRegion[target.zone->region];
    target.group->slots -= target.record.slots;
    target.group = nullptr;
}

void TargetSet::addToIndexes(GatewayTarget& target, Timestamp now)
{
    byAddress_.insert_or_assign(target.record.address, &target);
    target.serviceSlowStart = &services_[target.record.service].slowStart;
    if (!target.record.isLeaving)
        addToRanking(target, now);
}

void TargetSet::removeFromIndexes(GatewayTarget& target)
{
    if (atAddress(target.record.address) == &target)
        byAddress_.erase(target.record.address);
    Service& service = services_[target.record.service];
    if (!target.record.isLeaving)
        removeFromRanking(target);
    Service::Capacity& capacity = service.capacityByRegion[target.zone->region];
    capacity.slots -= target.countedSlots;
    capacity.load -= target.countedLoad;
    capacity.targets -= target.countedSlots > 0 ? 1 : 0;
    target.countedSlots = 0;
    target.countedLoad = 0;
}

void TargetSet::remove(GatewayTarget& target)
{
    removeFromIndexes(target);
    if (!target.backpressure.isEmpty() && formerBackpressure_.size() < MaxFormerBackpressure)
        formerBackpressure_.emplace(target.targetIncarnation(), target.backpressure);
    all_.back()->position = target.position;
    std::swap(all_[target.position], all_.back());
    all_.pop_back();
    byIncarnationHash_.erase(target.incarnationHash);
    targets_.erase(target.record.target);
}

void TargetSet::update(GatewayTarget& target, const model::TargetRecord& record, Timestamp now)
{
    const bool wasLeaving = target.record.isLeaving;
    const bool isMoved = record.address != target.record.address || record.zone != target.record.zone
        || record.service != target.record.service || record.version != target.record.version
        || record.slots != target.record.slots;
    if (isMoved) {
        (void)displaceOtherAt(record, now);
        removeFromIndexes(target);
    }
    if (record.slowStartLeft > Duration::zero() && target.record.slowStartLeft == Duration::zero())
        addSlowStartNotice(target, record, now);
    target.record = record;
    target.record.isLeaving = wasLeaving;
    if (isMoved) {
        target.zone = &zoneOf(record.zone);
        addToIndexes(target, now);
    }
    if (record.isLeaving) {
        target.isListedAsLeaving = true;
        target.isLeaveUnresolved = false;
        markLeaving(target);
    }
    updateRetirement(target, now);
    target.lastReportAt = now - record.age;
    // A registry host that has not applied the reopening lists the target by a report from before it.
    if (reportedOrders_ >= target.zone->reopenedPosition)
        target.lastListedInReport = reports_;
    target.reportedBy = reportedBy_;
    target.slowUntil = std::max(target.lastReportAt + record.slowStartLeft, target.statedSlowUntil);
    markListed(target, now);
    target.isUnresponsive = record.age >= model::TargetHeartbeatTimeout;
    target.unresponsiveHook.unlink();
    if (target.isUnresponsive)
        unresponsive_.push_back(target);
    updateCapacity(target, now);
}

void TargetSet::addSlowStartNotice(GatewayTarget& target, const model::TargetRecord& record, Timestamp now)
{
    SlowStartNotice notice {.target = record.target,
        .left = record.slowStartLeft - record.age,
        .isOwn = record.slowStartHost == location_.self,
        .recentSends = target.sends.recent(now),
        .sinceReport = now - target.lastReportAt};
    if (target.refusedAt)
        notice.sinceRefusal = now - *target.refusedAt;
    if (target.zone->reopenedByReport > 0)
        notice.sinceReopening = now - target.zone->reopenedAt;
    slowStarts_.push_back(notice);
}

std::unique_ptr<model::TargetRecord> TargetSet::displaceOtherAt(const model::TargetRecord& record, Timestamp now)
{
    GatewayTarget* other = atAddress(record.address);
    if (other == nullptr || other->id() == record.target)
        return nullptr;
    displaced_.record(other->targetIncarnation(), now);
    replaced_.push_back(other->targetIncarnation());
    auto otherRecord = std::make_unique<model::TargetRecord>(other->record);
    remove(*other);
    return otherRecord;
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

Proximity TargetSet::proximityOf(const GatewayTarget& target) const
{
    if (target.zone->region != location_.region)
        return Proximity::Remote;
    return target.zone->name == location_.zone ? Proximity::Zone : Proximity::Region;
}

void TargetSet::applyLoads(const model::TargetLoads& loads, Timestamp now)
{
    totalsAt_ = now;
    if (!loads.isChange) {
        for (GatewayTarget& target : withTotals_)
            target.totalInFlight = 0;
        withTotals_.clear();
    }
    for (size_t i = 0; i < loads.targets.size(); ++i) {
        const auto found = byIncarnationHash_.find(loads.targets[i]);
        if (found == byIncarnationHash_.end())
            continue;
        GatewayTarget& target = *found->second;
        target.totalInFlight = loads.inFlight[i];
        target.totalHook.unlink();
        if (target.totalInFlight > 0)
            withTotals_.push_back(target);
    }
}

model::TargetLoads TargetSet::collectOwnLoads()
{
    for (GatewayTarget& target : published_)
        target.publishedInFlight = 0;
    published_.clear();
    model::TargetLoads loads;
    for (GatewayTarget& target : busy_) {
        target.publishedInFlight = target.inFlight;
        published_.push_back(target);
        loads.targets.push_back(target.incarnationHash);
        loads.inFlight.push_back(target.inFlight);
    }
    return loads;
}

void TargetSet::markLeaving(const model::TargetIncarnation& targetIncarnation)
{
    retired_.record(membership::RetiredTargets::entryFor(targetIncarnation));
    GatewayTarget* known = findById(targetIncarnation.target);
    if (known != nullptr && known->record.incarnation <= targetIncarnation.incarnation)
        markLeaving(*known);
}

GatewayTarget* TargetSet::nextToProbe(Timestamp now)
{
    for (size_t i = 0; i < std::min(all_.size(), MaxProbeCandidates); ++i) {
        lastProbed_ = (lastProbed_ + 1) % all_.size();
        GatewayTarget& target = *all_[lastProbed_];
        const bool hasRoom = !target.backpressure.limit && now >= target.backpressure.unavailableUntil();
        if (hasRoom && target.mayReceive(now) && !target.isUnresponsive && !target.isSlowStarting(now))
            return &target;
    }
    return nullptr;
}

void TargetSet::markStopped(const model::TargetIncarnation& targetIncarnation, Timestamp now)
{
    GatewayTarget* known = find(targetIncarnation);
    if (known == nullptr)
        return;
    markLeaving(*known);
    if (known->displaced && now - known->addressSince <= membership::DisplacedTargets::RetentionTime)
        restoreDisplaced(*known, now);
}

void TargetSet::restoreDisplaced(GatewayTarget& target, Timestamp now)
{
    model::TargetRecord record = *std::exchange(target.displaced, nullptr);
    if (record.isLeaving || findById(record.target) != nullptr)
        return;
    record.age += now - target.addressSince;
    displaced_.forget(record.target);
    displaced_.record(target.targetIncarnation(), now);
    replaced_.push_back(target.targetIncarnation());
    remove(target);
    GatewayTarget& restored = add(record, now);
    restored.addressSince = now;
    update(restored, record, now);
}

void TargetSet::markLeaving(GatewayTarget& target)
{
    if (std::exchange(target.record.isLeaving, true))
        return;
    removeFromRanking(target);
}

void TargetSet::onRefused(GatewayTarget& target, Timestamp now)
{
    target.refusedAt = now;
    target.record.slowStartHost = {}; // Named again once the target reports.
    const bool hasSlowStart = *target.serviceSlowStart > Duration::zero();
    const bool isReported = target.refusalReportedAt && now - *target.refusalReportedAt < RefusalRepeatInterval;
    if (!hasSlowStart || target.record.isLeaving || target.isStartExpected(now) || isReported)
        return;
    target.refusalReportedAt = now;
    std::erase_if(refused_,
        [&](const Refusal& refusal) { return refusal.isRepetition && refusal.target == target.targetIncarnation(); });
    refused_.push_back({.target = target.targetIncarnation(), .at = now});
}

std::vector<model::TargetRecord> TargetSet::drainRefused(Timestamp connectedAt, Timestamp now)
{
    std::vector<model::TargetRecord> records;
    for (const Refusal& refusal : std::exchange(refused_, {})) {
        if (const std::optional<Refusal> later = report(refusal, records, connectedAt, now))
            refused_.push_back(*later);
    }
    return records;
}

bool TargetSet::mayMatter(const Refusal& refusal, const GatewayTarget& target, Timestamp now)
{
    if (refusal.answeredAt)
        return !target.isRefusalOfNetwork() && now - *refusal.answeredAt < *target.serviceSlowStart;
    return target.hasRefusedRecently(now) && (refusal.isRepetition || target.answeredAt < refusal.at);
}

std::optional<TargetSet::Refusal> TargetSet::report(
    Refusal refusal, std::vector<model::TargetRecord>& records, Timestamp connectedAt, Timestamp now) const
{
    const GatewayTarget* target = find(refusal.target);
    if (target == nullptr)
        return std::nullopt;
    if (refusal.isRepetition && !refusal.answeredAt && target->answeredAt >= refusal.at)
        refusal.answeredAt = target->answeredAt;
    if (!mayMatter(refusal, *target, now))
        return std::nullopt;
    if (refusal.isRepetition ? !isConfirmed_ : connectedAt <= refusal.at)
        return refusal;
    records.push_back(target->record);
    records.back().isStartExpected = true;
    if (isConfirmed_)
        return std::nullopt;
    refusal.isRepetition = true;
    return refusal;
}

void TargetSet::startSlowStart(GatewayTarget& target, Duration left, Timestamp now)
{
    target.statedSlowUntil = std::max(target.statedSlowUntil, now + left);
    target.slowUntil = std::max(target.slowUntil, target.statedSlowUntil);
    target.record.slowStartHost = {};
    updateCapacity(target, now);
}

void TargetSet::tick(Timestamp now)
{
    expire(now);
    for (size_t i = 0; i < std::min(all_.size(), CapacityUpdatesPerTick); ++i) {
        nextCapacityUpdate_ = (nextCapacityUpdate_ + 1) % all_.size();
        updateCapacity(*all_[nextCapacityUpdate_], now);
    }
}

void TargetSet::updateCapacity(GatewayTarget& target, Timestamp now)
{
    // Counted without regard to credits, which change several times per second.
    const bool isBackingOff = now < target.backpressure.backoffUntil;
    const VersionRole role = rollouts_.roleOf(target.record.service, target.record.version, now);
    const bool isInUse
        = role == VersionRole::Serving || (role == VersionRole::Trial && !rollouts_.isInTrial(target.record.service));
    const bool isCounted = isInUse && !isBackingOff && target.isAvailable(now) && !target.isSlowStarting(now);
    const double slots = isCounted ? target.usableSlots() : 0;
    const double load = isCounted ? target.load(now) : 0;
    Service::Capacity& capacity = services_[target.record.service].capacityByRegion[target.zone->region];
    capacity.slots += slots - target.countedSlots;
    capacity.load += load - target.countedLoad;
    capacity.targets += (slots > 0 ? 1 : 0);
    capacity.targets -= (target.countedSlots > 0 ? 1 : 0);
    target.countedSlots = slots;
    target.countedLoad = load;
}

void TargetSet::expire(Timestamp now)
{
    if (now - reportedAt_ > RegistryTimeout)
        return;
    std::vector<GatewayTarget*> removable;
    for (GatewayTarget& target : unresponsive_) {
        if (target.inFlight == 0)
            removable.push_back(&target);
    }
    for (GatewayTarget& target : byLastListed_) {
        const bool isExpired = now - target.lastListedAt > UnlistedTimeout && target.inFlight == 0;
        if (!isExpired)
            break;
        if (!target.isUnresponsive)
            removable.push_back(&target);
    }
    for (GatewayTarget* target : removable)
        remove(*target);
}

std::vector<model::TargetIncarnation> TargetSet::drainReplaced() { return std::exchange(replaced_, {}); }

GatewayTarget* TargetSet::findById(const TargetId& target) const
{
    const auto found = targets_.find(target);
    return found == targets_.end() ? nullptr : found->second.get();
}

GatewayTarget* TargetSet::find(const model::TargetIncarnation& targetIncarnation) const
{
    GatewayTarget* known = findById(targetIncarnation.target);
    return known != nullptr && known->record.incarnation == targetIncarnation.incarnation ? known : nullptr;
}

bool TargetSet::isUnconfirmed(
    const ServiceName& name, const Service& service, const TargetVersionGroup& group, Timestamp now) const
{
    if (now - group.firstSeenAt >= NewVersionDelay)
        return false;
    return std::ranges::any_of(service.versions, [&](const auto& item) {
        const TargetVersionGroup& other = item.second;
        return other.ranking.size() > 0 && other.firstSeenAt + NewVersionDelay <= group.firstSeenAt
            && rollouts_.roleOf(name, item.first, now) == VersionRole::Serving;
    });
}

TargetSet::Rankings TargetSet::rankings(const ServiceName& service, VersionRole role, Timestamp now)
{
    Rankings rankings;
    const auto found = services_.find(service);
    if (found == services_.end())
        return rankings;
    const bool isRolloutUnderWay = rollouts_.isUnderWay(service);
    for (auto& [version, group] : found->second.versions) {
        const bool isMember = group.ranking.size() > 0 && rollouts_.roleOf(service, version, now) == role;
        if (isMember && (isRolloutUnderWay || !isUnconfirmed(service, found->second, group, now)))
            rankings.push_back(&group.ranking);
    }
    if (rankings.empty() && role == VersionRole::Serving)
        return this->rankings(service, VersionRole::Trial, now);
    return rankings;
}

void TargetSet::addTargetState(model::RolloutReport& report) const
{
    const auto found = services_.find(report.service);
    if (found == services_.end())
        return;
    for (const auto& [version, group] : found->second.versions) {
        if (version == report.version) {
            report.trialSlots = static_cast<uint32_t>(group.slots);
            continue;
        }
        report.otherSlots += static_cast<uint32_t>(group.slots);
        report.otherVersions.push_back(version);
    }
    for (const GatewayTarget& target : busy_) {
        if (target.record.service == report.service && target.record.version != report.version)
            report.otherInFlight += target.inFlight;
    }
}

size_t TargetSet::countOf(const ServiceName& service) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return 0;
    size_t count = 0;
    for (const auto& [version, group] : found->second.versions)
        count += group.ranking.size();
    return count;
}

std::vector<RegionName> TargetSet::regionsOf(const ServiceName& service) const
{
    std::vector<RegionName> regions;
    const auto found = services_.find(service);
    if (found == services_.end())
        return regions;
    for (const auto& [region, count] : found->second.rankedByRegion) {
        if (count > 0)
            regions.push_back(region);
    }
    return regions;
}

ServiceCapacity TargetSet::capacityOf(const ServiceName& service) const
{
    ServiceCapacity all;
    const auto found = services_.find(service);
    if (found == services_.end())
        return all;
    for (const auto& [region, capacity] : found->second.capacityByRegion) {
        if (capacity.targets == 0)
            continue;
        ++all.regions;
        all.allSlots += capacity.slots;
        if (region != location_.region)
            continue;
        all.localSlots = capacity.slots;
        all.localLoad = capacity.load;
    }
    return all;
}

void TargetSet::install(const model::RoutePlan& plan)
{
    for (auto& [name, service] : services_)
        service.slowStart = {};
    for (const model::RoutedService& service : plan.services) {
        if (service.slowStartPerSecond > 0)
            services_[service.name].slowStart = service.slowStart;
    }
}

SendLimit TargetSet::limitOf(const GatewayTarget& target, Timestamp now) const
{
    if (!isConfirmed_)
        return SendLimit::Unconfirmed;
    const bool maySlowStart = target.isSlowStarting(now) || target.hasRefusedRecently(now);
    return maySlowStart ? SendLimit::SlowStart : SendLimit::None;
}

bool TargetSet::isUsable(const GatewayTarget& target, const model::RoutedService& service, Timestamp now) const
{
    if (!target.isOpen(now))
        return false;
    const double rate = service.slowStartPerSecond;
    switch (limitOf(target, now)) {
    case SendLimit::None:
        return true;
    case SendLimit::SlowStart:
        return target.record.slowStartHost == location_.self
            && target.slowStartPace.maySend(SlowStartShare::namedGatewayRate(rate), now);
    case SendLimit::Unconfirmed:
        // Targets of services without a slow start are never in one.
        return rate == 0 || isUsableUnconfirmed(target, rate, now);
    }
    return false;
}

bool TargetSet::isUsableUnconfirmed(const GatewayTarget& target, double slowStartPerSecond, Timestamp now) const
{
    const double rate = slowStartShare_.unconfirmedRate(target.hash, slowStartPerSecond);
    return rate > 0 && target.unconfirmedPace.maySend(rate, now);
}

void TargetSet::recordSent(GatewayTarget& target, const model::RoutedService& service, Timestamp now)
{
    if (++target.inFlight == 1)
        busy_.push_back(target);
    target.sends.record(now);
    const double rate = service.slowStartPerSecond;
    if (const SendLimit limit = limitOf(target, now); limit == SendLimit::SlowStart)
        target.slowStartPace.recordSent(SlowStartShare::namedGatewayRate(rate), now);
    else if (limit == SendLimit::Unconfirmed)
        target.unconfirmedPace.recordSent(slowStartShare_.unconfirmedRate(target.hash, rate), now);
}

void TargetSet::recordReleased(GatewayTarget& target)
{
    if (target.inFlight > 0 && --target.inFlight == 0)
        target.busyHook.unlink();
}

} // namespace saltvane::gateway
