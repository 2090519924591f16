/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/waterfill.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace saltvane::steering {

namespace {

/// Demand assumed for a region that offers none, so that its row has zones for the first requests.
constexpr double MinDemand = 0.01;
constexpr double NegligibleAmount = 1e-9;

class WaterFilling {
public:
    WaterFilling(const PlanInput& input, LinkHeadroom& links)
        : input_(input)
        , links_(links)
        , assigned_(input.deployment.regionCount(), input.deployment.zoneCount())
        , assignedByZone_(input.deployment.zoneCount())
    {
        for (const auto demand : input.demands)
            unassignedDemand_.push_back(std::max(demand, MinDemand));
    }

    void fill(double utilisation)
    {
        for (const auto& tier : input_.order.tiers()) {
            if (unassignedDemand_[tier.region.value] > NegligibleAmount)
                fillTier(tier, utilisation);
        }
    }

    ShareMatrix finish()
    {
        for (uint32_t region = 0; region < unassignedDemand_.size(); ++region)
            normalizeRow({region});
        return std::move(assigned_);
    }

private:
    void fillTier(const DelayTier& tier, double utilisation)
    {
        const auto assignable = assignableOf(tier, utilisation);
        const double available = std::accumulate(assignable.begin(), assignable.end(), 0.0);
        if (available <= NegligibleAmount)
            return;
        auto& demand = unassignedDemand_[tier.region.value];
        const double amount = std::min(demand, available);
        for (size_t index = 0; index < tier.zones.size(); ++index)
            assign(tier.region, tier.zones[index], amount * assignable[index] / available);
        demand -= amount;
    }

    /// Capacity left in each zone of the tier, scaled down if the link to the zone's region can take less.
    std::vector<double> assignableOf(const DelayTier& tier, double utilisation) const
    {
        std::vector<double> assignable;
        for (const auto zone : tier.zones)
            assignable.push_back(
                std::max(0.0, input_.capacities[zone.value] * utilisation - assignedByZone_[zone.value]));
        std::vector<double> limited = assignable;
        for (size_t index = 0; index < limited.size(); ++index)
            limited[index] *= linkFraction(tier, tier.zones[index], assignable);
        return limited;
    }

    double linkFraction(const DelayTier& tier, ZoneIndex zone, const std::vector<double>& assignable) const
    {
        const auto to = input_.deployment.regionOf(zone);
        const double headroom = links_.available(tier.region, to);
        if (headroom == std::numeric_limits<double>::infinity())
            return 1;
        double requested = 0;
        for (size_t index = 0; index < assignable.size(); ++index) {
            if (input_.deployment.regionOf(tier.zones[index]) == to)
                requested += assignable[index];
        }
        return requested <= headroom ? 1 : std::max(0.0, headroom) / requested;
    }

    void assign(RegionIndex from, ZoneIndex zone, double amount)
    {
        assigned_.row(from)[zone.value] += amount;
        assignedByZone_[zone.value] += amount;
        links_.reserve(from, input_.deployment.regionOf(zone), amount);
    }

    void normalizeRow(RegionIndex region)
    {
        auto row = assigned_.row(region);
        double sum = std::accumulate(row.begin(), row.end(), 0.0);
        if (sum <= NegligibleAmount) {
            std::copy(input_.capacities.begin(), input_.capacities.end(), row.begin());
            sum = std::accumulate(row.begin(), row.end(), 0.0);
        }
        for (auto& share : row)
            share /= sum;
    }

    const PlanInput& input_;
    LinkHeadroom& links_;
    ShareMatrix assigned_; ///< Concurrency while filling; finish() turns it into shares.
    std::vector<double> assignedByZone_; ///< Concurrency assigned to each zone.
    std::vector<double> unassignedDemand_; ///< By client region.
};

/// Divides each row among the nearest open zones by their open shares.
ShareMatrix nearestOpenZones(const PlanInput& input)
{
    ShareMatrix shares(input.deployment.regionCount(), input.deployment.zoneCount());
    for (uint32_t region = 0; region < input.deployment.regionCount(); ++region) {
        auto row = shares.row({region});
        row.back() = 1;
        for (const auto& tier : input.order.tiersOf({region})) {
            double open = 0;
            for (const auto zone : tier.zones)
                open += input.deployment.openShare(input.service, zone);
            if (open <= 0)
                continue;
            for (const auto zone : tier.zones)
                row[zone.value] = input.deployment.openShare(input.service, zone) / open;
            row.back() = 0;
            break;
        }
    }
    return shares;
}

} // namespace

ShareMatrix fillByDelay(const PlanInput& input, LinkHeadroom& links, double utilisation)
{
    const double capacity = std::accumulate(input.capacities.begin(), input.capacities.end(), 0.0);
    if (capacity <= 0)
        return nearestOpenZones(input);
    WaterFilling filling(input, links);
    filling.fill(utilisation);
    filling.fill(1);
    return filling.finish();
}

} // namespace saltvane::steering
