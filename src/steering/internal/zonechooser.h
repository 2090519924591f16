/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/counters.h"
#include "steering/internal/serviceroutes.h"
#include "steering/isteering.h"

namespace saltvane::steering {

/// Chooses the zone of one request by its row. If that zone has no credit, diverts the request as far as the cap
/// allows.
[[nodiscard]] Result<Choice, Refusal> chooseZone(ServiceRoutes& routes, const ChoiceQuery& query,
    const ICreditView& credits, Timestamp now, model::Counters* counters);

} // namespace saltvane::steering
