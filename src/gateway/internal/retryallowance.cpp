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

/// Of the ratio: the rest is what may be saved up, so that sends of one window stay below the limit also where the
/// savings of calmer seconds go at once.
constexpr double UsedPartOfRatio = 0.8;
/// Of what the rest of the ratio earns in so many seconds: half of the shortest window that a limit was set for.
constexpr double SavedSeconds = 5;
/// Of the slack, for gateways with too few requests to save anything; the number of gateways isn't known here.
constexpr double PartOfSlack = 0.02;
constexpr double RateMemorySeconds = 1;

} // namespace

void RetryAllowance::noteRequest(const ServiceName& service, Timestamp now)
{
    Account& account = accounts_[service];
    account.perSecond *= std::exp(-toSeconds(now - account.notedAt) / RateMemorySeconds);
    account.perSecond += 1 / RateMemorySeconds;
    account.notedAt = now;
    const double saved = options_.ratio * (1 - UsedPartOfRatio) * SavedSeconds * account.perSecond;
    const double most = std::max(1.0, options_.slack * PartOfSlack) + saved;
    account.balance = std::min(most, account.balance + options_.ratio * UsedPartOfRatio);
}

bool RetryAllowance::trySpend(const ServiceName& service)
{
    Account& account = accounts_[service];
    if (account.balance < 1)
        return false;
    account.balance -= 1;
    return true;
}

} // namespace saltvane::gateway
