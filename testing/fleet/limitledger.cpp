/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "limitledger.h"

#include <algorithm>

namespace saltvane::fleet::test {

namespace {

/// Time that a gateway has to apply a limit once it was informed.
constexpr Duration AdoptionDelay = 500ms;
constexpr double ToleranceFactor = 1.5;
constexpr double ToleranceRequests = 5;

} // namespace

LimitLedger::LimitLedger(Fleet& fleet, CrashingTargets& targets)
    : fleet_(fleet)
{
    targets.onArrival.emplace_back([this](const CrashingTargets::Exchange& exchange) { recordArrival(exchange); });
    targets.onResponse.emplace_back(
        [this](const CrashingTargets::Exchange& exchange, const CrashingTargets::Signals& signals) {
            recordResponse(exchange, signals);
        });
}

void LimitLedger::exempt(size_t gateway, Duration duration)
{
    exemptUntil_[gateway] = now() + duration + ConvergenceTime;
    std::erase_if(informedAt_, [&](const auto& informed) { return informed.first.second == gateway; });
}

void LimitLedger::recordResponse(const CrashingTargets::Exchange& exchange, const CrashingTargets::Signals& signals)
{
    if (!signals.limit) {
        incarnations_.erase(exchange.incarnation);
        std::erase_if(informedAt_, [&](const auto& informed) { return informed.first.first == exchange.incarnation; });
        return;
    }
    const auto [found, isNew]
        = incarnations_.try_emplace(exchange.incarnation, IncarnationLimits {.firstAnnouncedAt = now()});
    IncarnationLimits& incarnation = found->second;
    if (isNew || incarnation.limit != *signals.limit)
        incarnation.limits.emplace_back(now(), *signals.limit);
    incarnation.limit = *signals.limit;
    informedAt_.try_emplace({exchange.incarnation, exchange.gateway}, now());
}

double LimitLedger::allowedIn(const IncarnationLimits& incarnation, Timestamp from, Timestamp until)
{
    double allowed = 0;
    for (size_t i = 0; i < incarnation.limits.size(); ++i) {
        const Timestamp end = i + 1 < incarnation.limits.size() ? incarnation.limits[i + 1].first : until;
        const Timestamp begin = std::max(incarnation.limits[i].first, from);
        if (end > begin)
            allowed += toSeconds(end - begin) * incarnation.limits[i].second;
    }
    return allowed;
}

void LimitLedger::recordArrival(const CrashingTargets::Exchange& exchange)
{
    ++arrivals_[exchange.target];
    const auto found = incarnations_.find(exchange.incarnation);
    if (found == incarnations_.end() || now() < found->second.firstAnnouncedAt + ConvergenceTime)
        return;
    IncarnationLimits& incarnation = found->second;
    const Timestamp countedFrom = incarnation.firstAnnouncedAt + ConvergenceTime;
    ++arrived_;
    const Timestamp since = std::max(incarnation.limitSince, countedFrom);
    allowed_ += allowedIn(incarnation, since, now());
    incarnation.limitSince = now();
    const auto informed = informedAt_.find({exchange.incarnation, exchange.gateway});
    const bool isInformed = informed != informedAt_.end() && now() >= informed->second + AdoptionDelay;
    const auto exemption = exemptUntil_.find(exchange.gateway);
    if (!isInformed || (exemption != exemptUntil_.end() && now() < exemption->second))
        return;
    incarnation.counted.push_back(now());
    while (incarnation.counted.front() <= now() - Window)
        incarnation.counted.pop_front();
    const double maxAllowed = allowedIn(incarnation, now() - Window, now()) * ToleranceFactor + ToleranceRequests;
    const double fraction = static_cast<double>(incarnation.counted.size()) / maxAllowed;
    if (fraction <= maxBoundFraction_)
        return;
    maxBoundFraction_ = fraction;
    worstWindow_ = exchange.incarnation + " with a limit of " + std::to_string(incarnation.limit)
        + " requests per second got " + std::to_string(incarnation.counted.size())
        + " requests in four seconds; allowed " + std::to_string(maxAllowed);
}

} // namespace saltvane::fleet::test
