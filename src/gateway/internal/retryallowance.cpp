/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/retryallowance.h"

#include <algorithm>
#include <cmath>

namespace saltvane::gateway {

namespace {

/// Fraction of the ratio that is earned continuously. The rest is for savings, so that the retries of one window stay
/// below the limit even if the savings of quieter seconds are used at once.
constexpr double EarnedRatioFraction = 0.8;
/// The savings are bounded by what the rest of the ratio earns in this time: half of the shortest window for which a
/// limit was set.
constexpr double MaxSavingsSeconds = 5;
/// Fraction of the slack that all gateways together may have saved. The rest is for gateways that start, and for
/// numbers of gateways that change.
constexpr double SlackFraction = 0.5;
constexpr double RateLifetimeSeconds = 1;

} // namespace

void RetryAllowance::recordRequest(const ServiceName& service, Timestamp now)
{
    ServiceState& state = services_[service];
    state.perSecond *= std::exp(-toSeconds(now - state.updatedAt) / RateLifetimeSeconds);
    state.perSecond += 1 / RateLifetimeSeconds;
    state.updatedAt = now;
    const double maxSavings = options_.ratio * (1 - EarnedRatioFraction) * MaxSavingsSeconds * state.perSecond;
    const double maxBalance
        = std::max(1.0, options_.slack * SlackFraction / static_cast<double>(gateways_)) + maxSavings;
    state.balance = std::min(maxBalance, state.balance + options_.ratio * EarnedRatioFraction);
}

bool RetryAllowance::trySpend(const ServiceName& service)
{
    ServiceState& state = services_[service];
    if (state.balance < 1)
        return false;
    state.balance -= 1;
    return true;
}

} // namespace saltvane::gateway
