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
constexpr double StopMarginFactor = 1.3;
/// With fewer responses of a route the initial processing times and its objective count as well.
constexpr uint64_t MinDeliveries = 20;

} // namespace

bool RequestRunner::canCompleteBeforeStop(const Exchange& exchange, Timestamp now) const
{
    return !stopAt_ || now + timeNeeded(exchange, now) <= *stopAt_;
}

Duration RequestRunner::timeNeeded(const Exchange& exchange, Timestamp now) const
{
    const ProcessingTimes& times = options_.placement.processingTimes();
    const auto [slowest, count] = times.deliveriesOf(exchange.service, exchange.route.name);
    Duration expected = slowest;
    if (count < MinDeliveries)
        expected = std::max(
            {slowest, times.ofRoute(exchange.service, exchange.route.name).slowest, exchange.route.objective});
    return std::min(fromSeconds(toSeconds(expected) * StopMarginFactor), exchange.deadline - now);
}

size_t RequestRunner::endRequests(Timestamp now)
{
    std::vector<requests::HttpHandle> handles;
    for (const auto& [handle, exchange] : exchanges_) {
        if (!exchange->isResponseStarted)
            handles.push_back(handle);
    }
    std::ranges::sort(handles); // The order of exchanges_ is arbitrary.
    for (const requests::HttpHandle handle : handles)
        endRequest(*find(handle), now);
    return handles.size();
}

void RequestRunner::endRequest(Exchange& exchange, Timestamp now)
{
    if (exchange.dispatch.value != 0) {
        actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
        if (exchange.firstByteAt)
            exchange.recordPossibleRun();
        else
            releaseUnsent(exchange, now);
    }
    fail(exchange, exchange.mayHaveRun ? model::Reason::StopTimeLimit : model::Reason::Stopping, now);
}

} // namespace saltvane::gateway
