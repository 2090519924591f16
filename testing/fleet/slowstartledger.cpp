/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "slowstartledger.h"

namespace saltvane::fleet::test {

SlowStartLedger::SlowStartLedger(Fleet& fleet, CrashingTargets& targets, const Bound& bound)
    : fleet_(fleet)
    , targets_(targets)
    , bound_(bound)
{
    targets_.onArrival.emplace_back([this](const CrashingTargets::Exchange& exchange) { recordArrival(exchange); });
}

void SlowStartLedger::recordArrival(const CrashingTargets::Exchange& exchange)
{
    if (exchange.isProbe || exchange.isMisdirected)
        return;
    std::deque<Arrival>& arrivals = arrivals_[exchange.target];
    if (!targets_.isSlowStarting(exchange.target))
        return arrivals.clear();
    const Timestamp now = fleet_.registries().now();
    while (!arrivals.empty() && now - arrivals.front().at >= 1s)
        arrivals.pop_front();
    arrivals.push_back({.at = now, .gateway = exchange.gateway});
    const double fraction = static_cast<double>(arrivals.size()) / (bound_.perSecond * bound_.overage + bound_.slack);
    if (fraction <= maxBoundFraction_)
        return;
    maxBoundFraction_ = fraction;
    std::map<size_t, size_t> byGateway;
    for (const Arrival& arrival : arrivals)
        ++byGateway[arrival.gateway];
    worstSecond_ = std::to_string(arrivals.size()) + " requests to target " + std::to_string(exchange.target) + " at "
        + std::to_string(toSeconds(now.time_since_epoch())) + " s, by gateway:";
    for (const auto& [gateway, count] : byGateway)
        worstSecond_ += " " + std::to_string(gateway) + "=" + std::to_string(count);
}

} // namespace saltvane::fleet::test
