/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/deployment.h"
#include "model/hostmessages.h"
#include "steering/internal/serviceroutes.h"

#include <optional>
#include <span>

namespace saltvane::steering {

/// Initial routes of a service that has been in no deployment before.
[[nodiscard]] ServiceRoutes makeRoutes(const model::Deployment& deployment, ServiceIndex service, uint64_t seed);

/// Routes of the service under the new deployment, with the shares that they had under the old one. Regions and zones
/// are matched by name. The share of a removed zone is unassigned until it has moved to other zones. A new client
/// region starts with the row of the old default region.
[[nodiscard]] ServiceRoutes carryOver(ServiceRoutes old, const model::Deployment& before,
    const model::Deployment& after, ServiceIndex service, uint64_t seed);

/// Shares of a peer's row by the zone indices of this deployment. Shares of unknown zones are unassigned.
[[nodiscard]] std::vector<double> sharesFromPeerRow(const model::RouteRow& row, const model::Deployment& deployment);

} // namespace saltvane::steering
