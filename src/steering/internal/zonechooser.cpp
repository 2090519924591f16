/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/zonechooser.h"

#include "steering/internal/rowshift.h"

#include <algorithm>

namespace saltvane::steering {

namespace {

/// Step of the low-discrepancy sequence: 2^64 divided by the golden ratio.
constexpr uint64_t GoldenRatioStep = 0x9E3779B97F4A7C15;
/// Fraction of the cap that diversions may use while a shift runs; the rest is left for the movement of rows.
constexpr double DiversionFractionDuringShift = 1 - PlannedShiftFraction;
constexpr Duration MinRetryAfter = 200ms;
constexpr Duration MaxRetryAfter = 5s;

bool isExcluded(const ChoiceQuery& query, ZoneIndex zone)
{
    return std::ranges::find(query.excludedZones, zone) != query.excludedZones.end();
}

/// The nearest open zone with credit, other than `tried` and the excluded zones. Zones of equal delay alternate.
std::optional<ZoneIndex> findDiversionZone(
    const RouteRowState& row, const ChoiceQuery& query, std::optional<ZoneIndex> tried, const ICreditView& credits)
{
    for (const auto& tier : row.diversions) {
        const size_t count = tier.zones.size();
        const size_t first = (row.point >> 32) % count;
        for (size_t offset = 0; offset < count; ++offset) {
            const auto zone = tier.zones[(first + offset) % count];
            if (zone != tried && !isExcluded(query, zone) && credits.hasCredit(query.service, zone))
                return zone;
        }
    }
    return std::nullopt;
}

Duration clampRetryAfter(Duration wait) { return std::clamp(wait, MinRetryAfter, MaxRetryAfter); }

Refusal refuseWithoutCapacity(const ServiceRoutes& routes, std::optional<ZoneIndex> rowZone)
{
    if (!routes.hasOpenZone)
        return {.reason = model::Reason::ZoneClosed, .retryAfter = MaxRetryAfter, .rowZone = rowZone};
    return {.reason = model::Reason::NoRoom, .retryAfter = clampRetryAfter(routes.minQueueDelay), .rowZone = rowZone};
}

CapKind capKindFor(const ServiceRoutes& routes, std::optional<ZoneIndex> zone)
{
    return zone && routes.failedZones[zone->value] ? CapKind::Failover : CapKind::Shift;
}

/// The zone that a diverted request leaves: the row's zone or, for a retry, the zone tried first.
std::optional<ZoneIndex> departedZone(const ChoiceQuery& query, std::optional<ZoneIndex> rowZone)
{
    if (rowZone || query.excludedZones.empty())
        return rowZone;
    return query.excludedZones.front();
}

Result<Choice, Refusal> divert(ServiceRoutes& routes, const ChoiceQuery& query, std::optional<ZoneIndex> rowZone,
    const ICreditView& credits, Timestamp now, model::Counters* counters)
{
    const auto other = findDiversionZone(routes.rows[query.clientRegion.value], query, rowZone, credits);
    if (!other)
        return refuseWithoutCapacity(routes, rowZone);
    const auto kind = capKindFor(routes, departedZone(query, rowZone));
    const double maxFraction = isShifting(routes) ? DiversionFractionDuringShift : 1;
    if (!routes.history.mayDivert(kind, maxFraction, now)) {
        const auto wait = clampRetryAfter(routes.history.timeToNextExpiry(kind, now));
        return Refusal {.reason = model::Reason::ShiftCapReached, .retryAfter = wait, .rowZone = rowZone};
    }
    routes.history.recordDiversion(now);
    if (counters)
        counters->add(model::Counter::Diversions);
    return Choice {.zone = *other, .isDiverted = true, .rowZone = rowZone};
}

/// The row's zone from an earlier call for this request, if it still has a share in the row.
std::optional<ZoneIndex> earlierRowZone(const RouteRowState& row, const ChoiceQuery& query)
{
    const bool isKnown = query.rowZone && query.rowZone->value + 1 < row.shares.size();
    if (!isKnown || row.shares[query.rowZone->value] <= 0)
        return std::nullopt;
    return query.rowZone;
}

/// Draws a zone from the row; nullopt for a query with excluded zones, whose caller knows the tried zones only.
std::optional<ZoneIndex> drawZone(RouteRowState& row, const ChoiceQuery& query)
{
    row.point += GoldenRatioStep;
    return query.excludedZones.empty() ? row.table.pick(row.point) : std::nullopt;
}

} // namespace

Result<Choice, Refusal> chooseZone(ServiceRoutes& routes, const ChoiceQuery& query, const ICreditView& credits,
    Timestamp now, model::Counters* counters)
{
    routes.hasServed = true;
    if (!query.isRetry && !query.rowZone)
        routes.history.recordRequest(now);
    auto& row = routes.rows[query.clientRegion.value];
    auto zone = earlierRowZone(row, query);
    if (!zone)
        zone = drawZone(row, query);
    if (zone && !isExcluded(query, *zone) && credits.hasCredit(query.service, *zone))
        return Choice {.zone = *zone, .rowZone = zone};
    return divert(routes, query, zone, credits, now, counters);
}

} // namespace saltvane::steering
