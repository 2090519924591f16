/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/rowshift.h"

#include "steering/internal/rowmover.h"

#include <algorithm>

namespace saltvane::steering {

namespace {

constexpr Duration StepInterval = 100ms;
/// A late tick makes up for at most the cap's window divided by this.
constexpr int MaxCatchUpDivisor = 10;
/// Smaller differences between plans are treated as noise.
constexpr double PlanDeadBand = 0.03;
/// A zone whose share grows by this factor is warming up or has been opened: never treated as noise.
constexpr double MinGrowthFactor = 1.5;
constexpr double MinGrowth = 0.001;
/// Rows closer to their plan than this count as having reached it.
constexpr double SettledDistance = 0.002;
constexpr double NegligibleShare = 1e-9;

bool plansZoneWithoutCapacity(const ServiceRoutes& routes, const std::vector<double>& plan)
{
    for (size_t zone = 0; zone < routes.zones.size(); ++zone) {
        if (plan[zone] > 0 && routes.zones[zone].openCapacity <= 0)
            return true;
    }
    return false;
}

bool hasGrowingZone(const std::vector<double>& plan, std::span<const double> next)
{
    for (size_t zone = 0; zone < plan.size(); ++zone) {
        if (next[zone] > MinGrowthFactor * plan[zone] + MinGrowth)
            return true;
    }
    return false;
}

bool isSignificantChange(const ServiceRoutes& routes, const std::vector<double>& plan, std::span<const double> next)
{
    return plansZoneWithoutCapacity(routes, plan) || rowDistance(plan, next) > PlanDeadBand
        || hasGrowingZone(plan, next);
}

void updateRemainingMovement(ServiceRoutes& routes)
{
    routes.remainingMovement = 0;
    for (const auto& row : routes.rows)
        routes.remainingMovement = std::max(routes.remainingMovement, rowDistance(row.shares, row.plan));
    if (routes.remainingMovement < SettledDistance)
        routes.initialMovement = 0;
    else
        routes.initialMovement = std::max(routes.initialMovement, routes.remainingMovement);
}

RowMovement maxPendingMovement(const ServiceRoutes& routes)
{
    RowMovement max;
    for (const auto& row : routes.rows) {
        const auto pending = pendingMovement(row.shares, row.plan, routes.failedZones);
        max.planned = std::max(max.planned, pending.planned);
        max.failed = std::max(max.failed, pending.failed);
    }
    return max;
}

/// Planned movement that one step may make: a constant rate since the last step, within both caps.
double plannedMovementLimit(
    ServiceRoutes& routes, const model::ShiftCap& cap, double failedMovement, bool isFrozen, Timestamp now)
{
    const auto elapsed = now - routes.lastStep;
    if (elapsed < StepInterval)
        return 0;
    routes.lastStep = now;
    if (isFrozen)
        return 0;
    const auto creditedTime = std::min(elapsed, std::max(StepInterval, cap.window / MaxCatchUpDivisor));
    const double ratedMovement = PlannedShiftFraction * cap.share * toSeconds(creditedTime) / toSeconds(cap.window);
    const double remaining = std::min(routes.history.remainingAllowance(CapKind::Shift, now),
        routes.history.remainingAllowance(CapKind::Failover, now));
    return std::clamp(remaining - failedMovement, 0.0, ratedMovement);
}

RowMovement moveRows(ServiceRoutes& routes, const RowMovement& limit)
{
    RowMovement max;
    for (auto& row : routes.rows) {
        const auto moved = moveRow(row.shares, row.plan, routes.failedZones, limit);
        max.planned = std::max(max.planned, moved.planned);
        max.failed = std::max(max.failed, moved.failed);
        if (moved.planned + moved.failed > 0)
            row.compile();
    }
    return max;
}

} // namespace

void adoptPlan(ServiceRoutes& routes, const ShareMatrix& plan, bool isNewBundle)
{
    for (uint32_t region = 0; region < routes.rows.size(); ++region) {
        auto& row = routes.rows[region];
        const auto next = plan.row({region});
        if (isNewBundle || isSignificantChange(routes, row.plan, next))
            row.plan.assign(next.begin(), next.end());
    }
    updateRemainingMovement(routes);
}

void stepRows(
    ServiceRoutes& routes, const model::ShiftCap& cap, bool isFrozen, Timestamp now, model::Counters* counters)
{
    const auto pending = maxPendingMovement(routes);
    RowMovement limit;
    if (pending.failed > 0)
        limit.failed = std::min(pending.failed, routes.history.remainingAllowance(CapKind::Failover, now));
    limit.planned = plannedMovementLimit(routes, cap, limit.failed, isFrozen, now);
    if (pending.planned + pending.failed <= 0)
        return;
    const auto moved = moveRows(routes, limit);
    const double movement = moved.planned + moved.failed;
    if (movement > 0)
        routes.history.recordRowMovement(movement, now);
    updateRemainingMovement(routes);
    if (!counters)
        return;
    if (movement > 0)
        counters->add(model::Counter::RowMoves);
    if (pending.planned + pending.failed > movement + NegligibleShare)
        counters->add(model::Counter::RowMovesCapped);
}

void setRowsToPlan(ServiceRoutes& routes)
{
    for (auto& row : routes.rows) {
        row.shares = row.plan;
        row.compile();
    }
    updateRemainingMovement(routes);
}

bool isShifting(const ServiceRoutes& routes) { return routes.initialMovement > 0; }

double shiftProgressOf(const ServiceRoutes& routes)
{
    if (!isShifting(routes))
        return 1;
    return std::clamp(1 - routes.remainingMovement / routes.initialMovement, 0.0, 1.0);
}

} // namespace saltvane::steering
