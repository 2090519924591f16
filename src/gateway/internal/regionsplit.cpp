/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/regionsplit.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

/// The cap holds from one window of two seconds to the next; a third of it is left to chance and to single requests.
constexpr double CapWindowSeconds = 2;
constexpr double UsedPartOfCap = 0.5;
constexpr double LongestStepSeconds = 1;
/// Of the region's slots: above, requests leave the region; below, they come back.
constexpr double HighLoad = 0.85;
constexpr double LowLoad = 0.65;
/// A region with this multiple of its even share of all slots needs no other region before it has seen any load.
constexpr double EvenShareMargin = 1.4;
/// Small requests that a region with slots for all of them keeps; the rest lets objects that are too many for their
/// target find their second choice elsewhere.
constexpr double MostHomeShare = 0.9;
/// A smaller part of the slots than before is a loss of targets, not a change of load.
constexpr double LossRatio = 0.8;

} // namespace

RegionSplit::RegionSplit(double shiftCap)
    : stepPerSecond_(shiftCap * UsedPartOfCap / CapWindowSeconds)
{
}

void RegionSplit::move(State& state, const ServiceRoom& room, double largestStep)
{
    const double before = state.homeSlots;
    state.homeSlots = room.homeSlots;
    if (room.homeSlots <= 0)
        return; // All of them go elsewhere meanwhile, whatever the share says.
    if (!state.isUsed || before <= 0) {
        const double evenShare = room.allSlots / static_cast<double>(std::max<size_t>(room.regions, 1));
        state.share = std::min(1.0, room.homeSlots / evenShare * EvenShareMargin);
        return;
    }
    if (room.homeSlots < before * LossRatio) {
        state.share *= room.homeSlots / before;
        return;
    }
    const double load = room.homeLoad / room.homeSlots;
    if (load > HighLoad)
        state.share -= largestStep;
    else if (load < LowLoad)
        state.share += largestStep;
    state.share = std::clamp(state.share, 0.0, 1.0);
}

double RegionSplit::weightOf(const ServiceRoom& room)
{
    const double awaySlots = room.allSlots - room.homeSlots;
    if (room.homeSlots <= 0 || awaySlots <= 0)
        return 1;
    const double evenShare = room.allSlots / static_cast<double>(std::max<size_t>(room.regions, 1));
    const double share = std::min(room.homeSlots / evenShare, MostHomeShare);
    return std::max(1.0, share / (1 - share) * awaySlots / room.homeSlots);
}

void RegionSplit::install(const model::RoutePlan& plan)
{
    services_.clear();
    for (const model::RoutedService& service : plan.services)
        services_.push_back(service.name);
}

void RegionSplit::tick(const TargetSet& targets, Timestamp now)
{
    const double seconds = std::min(toSeconds(now - movedAt_), LongestStepSeconds);
    movedAt_ = now;
    for (const ServiceName& service : services_) {
        State& state = states_[service];
        const ServiceRoom room = targets.roomOf(service);
        state.homeWeight = weightOf(room);
        move(state, room, stepPerSecond_ * seconds);
    }
}

double RegionSplit::homeShare(const ServiceName& service) const
{
    const auto found = states_.find(service);
    return found == states_.end() ? 1 : found->second.share;
}

double RegionSplit::homeWeight(const ServiceName& service) const
{
    const auto found = states_.find(service);
    return found == states_.end() ? 1 : found->second.homeWeight;
}

void RegionSplit::noteUsed(const ServiceName& service) { states_[service].isUsed = true; }

} // namespace saltvane::gateway
