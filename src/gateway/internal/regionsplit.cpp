/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/regionsplit.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

/// The cap applies to the change between consecutive two-second windows. Half of it is used: at least a third has to
/// remain for random variation and for single requests to other regions.
constexpr double CapWindowSeconds = 2;
constexpr double UsedCapFraction = 0.5;
constexpr double MaxStepSeconds = 1;
/// Load relative to the region's slots: above HighLoad requests are moved to other regions, below LowLoad they are
/// moved back.
constexpr double HighLoad = 0.85;
constexpr double LowLoad = 0.65;
/// A region whose slots are this multiple of an even share needs no other region until load has been observed.
constexpr double EvenShareMargin = 1.4;
/// Maximum share of small requests that stay in a region with slots for all of them. The rest lets objects that are too
/// popular for their target use a second choice in another region.
constexpr double MaxLocalShare = 0.9;
/// A decrease of the slots below this ratio is a loss of targets, not a change of load.
constexpr double LossRatio = 0.8;

} // namespace

RegionSplit::RegionSplit(double shiftCap)
    : stepPerSecond_(shiftCap * UsedCapFraction / CapWindowSeconds)
{
}

void RegionSplit::move(State& state, const ServiceCapacity& capacity, double maxStep)
{
    const double before = state.localSlots;
    state.localSlots = capacity.localSlots;
    if (capacity.localSlots <= 0)
        return; // All requests go to other regions meanwhile, whatever the share is.
    if (!state.isUsed || before <= 0) {
        const double evenShare = capacity.allSlots / static_cast<double>(std::max<size_t>(capacity.regions, 1));
        state.share = std::min(1.0, capacity.localSlots / evenShare * EvenShareMargin);
        return;
    }
    if (capacity.localSlots < before * LossRatio) {
        state.share *= capacity.localSlots / before;
        return;
    }
    const double load = capacity.localLoad / capacity.localSlots;
    if (load > HighLoad)
        state.share -= maxStep;
    else if (load < LowLoad)
        state.share += maxStep;
    state.share = std::clamp(state.share, 0.0, 1.0);
}

double RegionSplit::weightOf(const ServiceCapacity& capacity)
{
    const double remoteSlots = capacity.allSlots - capacity.localSlots;
    if (capacity.localSlots <= 0 || remoteSlots <= 0)
        return 1;
    const double evenShare = capacity.allSlots / static_cast<double>(std::max<size_t>(capacity.regions, 1));
    const double share = std::min(capacity.localSlots / evenShare, MaxLocalShare);
    return std::max(1.0, share / (1 - share) * remoteSlots / capacity.localSlots);
}

void RegionSplit::install(const model::RoutePlan& plan)
{
    services_.clear();
    for (const model::RoutedService& service : plan.services)
        services_.push_back(service.name);
}

void RegionSplit::tick(const TargetSet& targets, Timestamp now)
{
    const double seconds = std::min(toSeconds(now - movedAt_), MaxStepSeconds);
    movedAt_ = now;
    for (const ServiceName& service : services_) {
        State& state = states_[service];
        const ServiceCapacity capacity = targets.capacityOf(service);
        state.localWeight = weightOf(capacity);
        move(state, capacity, stepPerSecond_ * seconds);
    }
}

double RegionSplit::localShare(const ServiceName& service) const
{
    const auto found = states_.find(service);
    return found == states_.end() ? 1 : found->second.share;
}

double RegionSplit::localWeight(const ServiceName& service) const
{
    const auto found = states_.find(service);
    return found == states_.end() ? 1 : found->second.localWeight;
}

void RegionSplit::recordUse(const ServiceName& service) { states_[service].isUsed = true; }

} // namespace saltvane::gateway
