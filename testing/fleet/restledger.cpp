/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "restledger.h"

#include <algorithm>

namespace saltvane::fleet::test {

namespace {

/// Time that a gateway has to apply a backoff once it was informed.
constexpr Duration AdoptionDelay = 500ms;

} // namespace

RestLedger::RestLedger(Fleet& fleet, CrashingTargets& targets)
    : fleet_(fleet)
{
    targets.onArrival.emplace_back([this](const CrashingTargets::Exchange& exchange) {
        const auto found = current_.find({exchange.incarnation, exchange.gateway});
        if (found == current_.end() || now() < found->second.from || now() >= found->second.until)
            return;
        maxRequests_ = std::max(maxRequests_, ++found->second.requests);
    });
    targets.onResponse.emplace_back(
        [this](const CrashingTargets::Exchange& exchange, const CrashingTargets::Signals& signals) {
            if (!signals.backoff)
                return;
            ++rejected_;
            const auto [backoff, isNew] = current_.try_emplace({exchange.incarnation, exchange.gateway});
            if (!isNew && now() < backoff->second.until)
                return;
            ++backoffs_;
            backoff->second = {.from = now() + AdoptionDelay, .until = now() + *signals.backoff};
        });
}

void RestLedger::exempt(size_t gateway)
{
    std::erase_if(current_, [&](const auto& backoff) { return backoff.first.second == gateway; });
}

} // namespace saltvane::fleet::test
