/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/targetpool.h"

#include <algorithm>
#include <cmath>

namespace saltvane::steering {

namespace {

/// An answer is in time if it takes at most this many times the service's average latency.
constexpr int InTimeLatencyFactor = 3;
/// Latency assumed before any target has answered.
constexpr Duration DefaultLatency = 1ms;

bool isExcluded(std::span<const TargetId> excluded, const OwnedTarget& target)
{
    return std::ranges::find(excluded, target.announced().target) != excluded.end();
}

} // namespace

TargetPool::TargetPool(const TargetPoolOptions& options)
    : options_(options)
    , random_(options.seed)
{
}

void TargetPool::upsert(const PoolTarget& target, Timestamp now)
{
    now_ = now;
    const auto found = targets_.find(target.target);
    if (found == targets_.end()) {
        const auto added = targets_.try_emplace(target.target, target, options_).first;
        addMember(added->second);
        return;
    }
    auto& known = found->second;
    const bool changesService = known.announced().service != target.service;
    if (target.incarnation < known.announced().incarnation) {
        incrementCounter(model::Counter::StaleMessages);
        return;
    }
    if (changesService)
        removeMember(known);
    if (known.update(target) && changesService)
        addMember(known);
}

void TargetPool::remove(const TargetId& target, Timestamp now)
{
    now_ = now;
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    found->second.retire();
    eraseIfDrained(target);
}

std::optional<ITargetPool::Slot> TargetPool::acquire(
    const ServiceName& service, std::span<const TargetId> excluded, Timestamp now)
{
    now_ = now;
    const auto members = services_.find(service);
    if (members == services_.end())
        return std::nullopt;
    auto* best = findBest(members->second, excluded, now);
    if (!best)
        return std::nullopt;
    auto slot = best->acquire(now);
    if (slot.isTrial)
        incrementCounter(model::Counter::TrialRequests);
    return slot;
}

OwnedTarget* TargetPool::findBest(const Members& members, std::span<const TargetId> excluded, Timestamp now)
{
    const auto averageLatency = averageWarmLatency(members).value_or(DefaultLatency);
    OwnedTarget* best = nullptr;
    double bestScore = 0;
    uint64_t ties = 0;
    for (auto* target : members) {
        if (!target->hasFreeSlot(now) || isExcluded(excluded, *target))
            continue;
        if (target->ejection().isReadyForTrial(now))
            return target;
        const auto latency = target->latency() > Duration::zero() ? target->latency() : averageLatency;
        const double score = (target->inFlight() + 1) * toSeconds(latency);
        if (!best || score < bestScore) {
            best = target;
            bestScore = score;
            ties = 1;
            continue;
        }
        if (score == bestScore && random_() % ++ties == 0)
            best = target;
    }
    return best;
}

std::optional<Duration> TargetPool::averageWarmLatency(const Members& members) const
{
    Duration sum {};
    int64_t warm = 0;
    for (const auto* target : members) {
        if (target->latency() == Duration::zero() || !target->slowStart().isWarm())
            continue;
        sum += target->latency();
        ++warm;
    }
    if (warm == 0)
        return std::nullopt;
    return sum / warm;
}

void TargetPool::release(const Slot& slot, DispatchResult result, Duration latency, Timestamp now)
{
    now_ = now;
    const auto found = targets_.find(slot.target);
    if (found == targets_.end())
        return;
    auto& target = found->second;
    const auto inFlightBeforeRelease = target.inFlight();
    if (!target.release(slot.incarnation))
        return;
    if (slot.incarnation == target.announced().incarnation) {
        const auto averageLatency = averageWarmLatency(services_[target.announced().service]);
        const bool isInTime = !averageLatency || latency <= *averageLatency * InTimeLatencyFactor;
        target.recordResult(result, latency, isInTime, inFlightBeforeRelease, now);
        ejectIfAllowed(target, now);
    }
    eraseIfDrained(slot.target);
}

void TargetPool::ejectIfAllowed(OwnedTarget& target, Timestamp now)
{
    if (!target.needsEjection())
        return;
    const auto& members = services_[target.announced().service];
    const auto ejected
        = std::ranges::count_if(members, [](const auto* member) { return member->ejection().isEjected(); });
    const auto allowed
        = static_cast<int64_t>(std::floor(options_.maxEjectedFraction * static_cast<double>(members.size())));
    if (ejected >= allowed)
        return;
    target.eject(now);
    incrementCounter(model::Counter::Ejections);
}

std::vector<PoolRoom> TargetPool::rooms() const
{
    std::vector<PoolRoom> result;
    for (const auto& [service, members] : services_)
        result.push_back(room(service));
    return result;
}

PoolRoom TargetPool::room(const ServiceName& service) const
{
    PoolRoom result {.service = service};
    const auto members = services_.find(service);
    if (members == services_.end())
        return result;
    for (const auto* target : members->second) {
        result.inFlight += target->inFlight();
        if (!target->acceptsWork())
            continue;
        ++result.targets;
        result.slots += target->announced().slots;
        result.room += target->usableSlots(now_);
    }
    return result;
}

std::vector<PoolTargetStatus> TargetPool::targets() const
{
    std::vector<PoolTargetStatus> result;
    for (const auto& [id, target] : targets_)
        result.push_back(target.status());
    return result;
}

std::optional<PoolTargetStatus> TargetPool::find(const TargetId& target) const
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return std::nullopt;
    return found->second.status();
}

void TargetPool::tick(Timestamp now) { now_ = now; }

void TargetPool::addMember(OwnedTarget& target)
{
    auto& members = services_[target.announced().service];
    const auto byId
        = [](const auto* left, const auto* right) { return left->announced().target < right->announced().target; };
    members.insert(std::ranges::upper_bound(members, &target, byId), &target);
}

void TargetPool::removeMember(OwnedTarget& target)
{
    auto& members = services_[target.announced().service];
    std::erase(members, &target);
    if (members.empty())
        services_.erase(target.announced().service);
}

void TargetPool::eraseIfDrained(const TargetId& target)
{
    const auto found = targets_.find(target);
    if (!found->second.isRetired() || found->second.inFlight() > 0)
        return;
    removeMember(found->second);
    targets_.erase(found);
}

void TargetPool::incrementCounter(model::Counter counter)
{
    if (options_.counters)
        options_.counters->add(counter);
}

} // namespace saltvane::steering
