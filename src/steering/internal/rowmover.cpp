/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/rowmover.h"

#include <algorithm>

namespace saltvane::steering {

namespace {

/// Fraction of `requested` that `limit` allows.
double allowedFraction(double requested, double limit)
{
    return requested <= limit ? 1 : std::max(0.0, limit) / requested;
}

bool isFailedZone(const std::vector<bool>& failedZones, size_t column)
{
    return column < failedZones.size() && failedZones[column];
}

} // namespace

RowMovement pendingMovement(
    std::span<const double> shares, std::span<const double> plan, const std::vector<bool>& failedZones)
{
    RowMovement pending;
    for (size_t column = 0; column < shares.size(); ++column) {
        const double outgoing = std::max(0.0, shares[column] - plan[column]);
        (isFailedZone(failedZones, column) ? pending.failed : pending.planned) += outgoing;
    }
    return pending;
}

RowMovement moveRow(std::span<double> shares, std::span<const double> plan, const std::vector<bool>& failedZones,
    const RowMovement& limit)
{
    const auto pending = pendingMovement(shares, plan, failedZones);
    const double total = pending.planned + pending.failed;
    if (total <= 0)
        return {};
    const double plannedFraction = allowedFraction(pending.planned, limit.planned);
    const double failedFraction = allowedFraction(pending.failed, limit.failed);
    const RowMovement moved {.planned = pending.planned * plannedFraction, .failed = pending.failed * failedFraction};
    const double incomingFraction = (moved.planned + moved.failed) / total;
    for (size_t column = 0; column < shares.size(); ++column) {
        const double difference = plan[column] - shares[column];
        const double outgoingFraction = isFailedZone(failedZones, column) ? failedFraction : plannedFraction;
        const double fraction = difference > 0 ? incomingFraction : outgoingFraction;
        // Assigns the plan itself when the step reaches it, so that no rounding error remains.
        shares[column] = fraction >= 1 ? plan[column] : shares[column] + difference * fraction;
    }
    return moved;
}

} // namespace saltvane::steering
