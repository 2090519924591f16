/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <span>
#include <vector>

namespace saltvane::steering {

/// Movement of one step, as shares of the row: what it may move or has moved.
struct RowMovement {
    double planned = 0; ///< Out of zones that have not failed.
    double failed = 0; ///< Out of zones that have failed.
};

/// Movement left until the row reaches its plan.
[[nodiscard]] RowMovement pendingMovement(
    std::span<const double> shares, std::span<const double> plan, const std::vector<bool>& failedZones);

/// Moves a row towards its plan by at most `limit`; returns how much it moved.
RowMovement moveRow(std::span<double> shares, std::span<const double> plan, const std::vector<bool>& failedZones,
    const RowMovement& limit);

} // namespace saltvane::steering
