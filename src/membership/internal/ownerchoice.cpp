/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/internal/ownerchoice.h"

#include <algorithm>
#include <set>

namespace saltvane::membership {

namespace {

/// A target assigned to a host appears in the heartbeats of that host after at most this time.
constexpr Duration AssignmentRetention = 1s;
constexpr Duration UnresponsiveBackoff = 5s;
constexpr uint32_t MinImbalance = 2; // With 1, a hand-over would only swap the two loads.

} // namespace

OwnerChoice::OwnerChoice(const TargetDirectoryOptions& options)
    : self_(options.self)
    , hosts_(options.hosts)
    , allowedImbalance_(std::max(options.allowedImbalance, MinImbalance))
{
}

std::vector<model::HostRecord> OwnerChoice::suitableHosts(const ZoneName& zone) const
{
    std::vector<model::HostRecord> suitable = hosts_->servingHosts(zone);
    if (!suitable.empty())
        return suitable;
    const RegionName region = regionOf(zone);
    std::set<ZoneName> zones;
    if (self_.region == region)
        zones.insert(self_.zone);
    for (const HostView* view : hosts_->hosts()) {
        if (view->record.region == region)
            zones.insert(view->record.zone);
    }
    for (const ZoneName& other : zones) {
        const std::vector<model::HostRecord> serving = hosts_->servingHosts(other);
        suitable.insert(suitable.end(), serving.begin(), serving.end());
    }
    std::ranges::sort(suitable, {}, &model::HostRecord::host);
    return suitable;
}

RegionName OwnerChoice::regionOf(const ZoneName& zone) const
{
    if (zone == self_.zone)
        return self_.region;
    for (const HostView* view : hosts_->hosts()) {
        if (view->record.zone == zone)
            return view->record.region;
    }
    return {};
}

uint32_t OwnerChoice::loadOf(const model::HostRecord& record, const ServiceName& service, Timestamp now) const
{
    uint32_t load = 0;
    for (const model::ServiceRoom& room : record.services) {
        if (room.service == service)
            load += room.targets;
    }
    for (const auto& [target, assignment] : recentAssignments_) {
        if (assignment.host == record.host && assignment.service == service && now < assignment.expiresAt)
            ++load;
    }
    return load;
}

std::vector<OwnerCandidate> OwnerChoice::others(const Announcement& announcement, Timestamp now) const
{
    std::vector<OwnerCandidate> candidates;
    for (const model::HostRecord& record : suitableHosts(announcement.zone)) {
        const auto unresponsive = unresponsiveUntil_.find(record.host);
        const bool isResponsive = unresponsive == unresponsiveUntil_.end() || now >= unresponsive->second;
        if (record.host == self_.host || !isResponsive)
            continue;
        const uint32_t load = loadOf(record, announcement.service, now);
        candidates.push_back({record.host, record.incarnation, record.entryAddress, load});
    }
    return candidates;
}

std::optional<OwnerCandidate> OwnerChoice::leastLoaded(const Announcement& announcement, Timestamp now) const
{
    const std::vector<OwnerCandidate> candidates = others(announcement, now);
    const auto least = std::ranges::min_element(candidates, {}, &OwnerCandidate::load);
    if (least == candidates.end())
        return std::nullopt;
    return *least;
}

const HostView* OwnerChoice::claimant(const Announcement& announcement) const
{
    for (const HostView* view : hosts_->hosts()) {
        const std::vector<TargetId>& owned = view->record.ownedTargets;
        const bool isClaiming = std::ranges::find(owned, announcement.target) != owned.end();
        if (isClaiming && view->health != HostHealth::Dead && view->record.host != self_.host)
            return view;
    }
    return nullptr;
}

bool OwnerChoice::isSuitable(const Announcement& announcement) const
{
    const std::vector<model::HostRecord> suitable = suitableHosts(announcement.zone);
    return std::ranges::find(suitable, self_.host, &model::HostRecord::host) != suitable.end();
}

std::optional<OwnerCandidate> OwnerChoice::chooseOther(
    const Announcement& announcement, uint32_t ownLoad, Timestamp now) const
{
    const std::optional<OwnerCandidate> least = leastLoaded(announcement, now);
    if (!least || !isSuitable(announcement))
        return least;
    // The hosts' views of load differ by up to one heartbeat: the margin keeps two hosts from passing a target back and
    // forth.
    if (ownLoad < least->load + allowedImbalance_)
        return std::nullopt;
    return least;
}

void OwnerChoice::recordAssignment(
    const TargetId& target, const ServiceName& service, const HostId& host, Timestamp now)
{
    recentAssignments_[target] = {host, service, now + AssignmentRetention};
}

void OwnerChoice::markUnresponsive(const HostId& host, Timestamp now)
{
    unresponsiveUntil_[host] = now + UnresponsiveBackoff;
}

void OwnerChoice::tick(Timestamp now)
{
    std::erase_if(recentAssignments_, [now](const auto& item) { return now >= item.second.expiresAt; });
    std::erase_if(unresponsiveUntil_, [now](const auto& item) { return now >= item.second; });
}

} // namespace saltvane::membership
