/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"

#include <algorithm>

/// RequestRunner: requests during the planned stop of this gateway.
namespace saltvane::gateway {

namespace {

/// The slowest recent response may be exceeded by later ones. A refusal costs the caller a short delay, and a request
/// that is cut off its outcome.
constexpr double StopMarginFactor = 1.5;

} // namespace

bool RequestRunner::canCompleteBeforeStop(const Exchange& exchange, Timestamp now) const
{
    return !stopAt_ || now + timeNeeded(exchange, now) <= *stopAt_;
}

Duration RequestRunner::timeNeeded(const Exchange& exchange, Timestamp now) const
{
    const ProcessingTimes& times = options_.placement.processingTimes();
    const model::RouteName& route = exchange.route.name;
    const Duration slowest
        = std::max(times.ofRoute(exchange.service, route).slowest, times.slowestDelivery(exchange.service, route));
    const Duration expected = fromSeconds(toSeconds(slowest) * StopMarginFactor);
    return std::min(std::max(expected, exchange.route.objective), exchange.deadline - now);
}

} // namespace saltvane::gateway
