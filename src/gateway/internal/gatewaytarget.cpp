/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/gatewaytarget.h"

#include <algorithm>
#include <charconv>

namespace saltvane::gateway {

namespace {

/// Time over which reported load decays linearly to zero.
constexpr Duration LoadLifetime = 1s;
/// A load from the target's own response takes precedence over the registry's total while it is this new.
constexpr Duration FreshLoadAge = 200ms;
constexpr Duration FirstEjection = 250ms;
constexpr uint32_t MaxDoublings = 4;
constexpr Duration FirstSingleUsePeriod = 5s;
constexpr Duration MaxSingleUsePeriod = 80s;
/// A full target counts as loaded by its slots and a queue of twice as many requests.
constexpr uint32_t FullLoadFactor = 3;

/// How long a target is left out, or avoided, after this many repetitions.
Duration backoffAfter(uint32_t repetitions) { return FirstEjection * (1 << std::min(repetitions, MaxDoublings)); }

} // namespace

double GatewayTarget::load(Timestamp now) const
{
    const Duration ownAge = now - loadUpdatedAt;
    const Duration totalAge = totalsAt == nullptr ? LoadLifetime : now - *totalsAt;
    const bool isTotalUsed = totalAge < LoadLifetime && ownAge >= FreshLoadAge;
    const Duration age = isTotalUsed ? totalAge : ownAge;
    if (age >= LoadLifetime)
        return inFlight;
    const uint32_t totalOfOthers = totalInFlight > publishedInFlight ? totalInFlight - publishedInFlight : 0;
    const uint32_t others = isTotalUsed ? totalOfOthers : otherGatewaysLoad;
    return inFlight + others * (1 - toSeconds(age) / toSeconds(LoadLifetime));
}

bool GatewayTarget::isAwaitingReport(Timestamp now) const
{
    return lastListedInReport < zone->reopenedByReport && isRecentlyReopened(now);
}

bool GatewayTarget::isAvailable(Timestamp now) const
{
    if (record.isLeaving || isUnresponsive || zone->isClosed || isEjected(now) || isAwaitingReport(now))
        return false;
    return !isOnTrial() || inFlight == 0;
}

bool GatewayTarget::mayReceive(Timestamp now) const
{
    return !record.isLeaving && !zone->isClosed && !isAwaitingReport(now) && now >= backpressure.backoffUntil;
}

double GatewayTarget::usableSlots() const
{
    return std::min<double>(record.slots, backpressure.limit.value_or(record.slots));
}

void GatewayTarget::onAnswered(Timestamp now)
{
    answeredAt = now;
    refusalReportedAt.reset();
    failures = 0;
    if (brokenResponses < FailuresToEject)
        ejectedUntil = {};
}

void GatewayTarget::onResponseCompleted()
{
    brokenResponses = 0;
    unfinishedResponses = 0;
    avoidedUntil = {};
    if (failures < FailuresToEject)
        ejectedUntil = {};
}

void GatewayTarget::onResponseUnfinished(Timestamp now) { avoidedUntil = now + backoffAfter(unfinishedResponses++); }

void GatewayTarget::onResponseBroken(Timestamp now)
{
    if (areFailuresVoid())
        brokenResponses = 0;
    failedAt = now;
    eject(++brokenResponses, now);
}

void GatewayTarget::onFailure(Timestamp now, bool isCertain)
{
    if (areFailuresVoid())
        failures = 0;
    failedAt = now;
    failures = std::max(failures + 1, isCertain ? FailuresToEject : 0);
    eject(failures, now);
}

void GatewayTarget::eject(uint32_t consecutiveFailures, Timestamp now)
{
    if (consecutiveFailures < FailuresToEject)
        return;
    ejectedUntil = now + backoffAfter(consecutiveFailures - FailuresToEject);
}

bool GatewayTarget::onSurplusBytes(Timestamp now)
{
    if (now < singleUseUntil)
        return false; // On a connection from before the period.
    const bool hasRecurred = singleUsePeriod > Duration::zero() && now < singleUseUntil + singleUsePeriod * 2;
    singleUsePeriod = hasRecurred ? std::min(singleUsePeriod * 2, MaxSingleUsePeriod) : FirstSingleUsePeriod;
    singleUseUntil = now + singleUsePeriod;
    return true;
}

void GatewayTarget::updateLoad(std::string_view text, Timestamp now)
{
    uint32_t running = 0;
    uint32_t waiting = 0;
    const char* const end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, running);
    if (first.ec != std::errc {} || first.ptr == end || *first.ptr != ',')
        return;
    if (std::from_chars(first.ptr + 1, end, waiting).ec != std::errc {})
        return;
    // No target reports larger values; they count as full.
    const uint32_t maxCount = record.slots * FullLoadFactor;
    const uint32_t all = std::min(running, maxCount) + std::min(waiting, maxCount);
    otherGatewaysLoad = all > inFlight ? all - inFlight : 0;
    loadUpdatedAt = now;
}

void GatewayTarget::onRefusal(Timestamp now)
{
    if (hasFreeSlots(now))
        return;
    otherGatewaysLoad = std::max(otherGatewaysLoad, record.slots * FullLoadFactor);
    loadUpdatedAt = now;
}

} // namespace saltvane::gateway
