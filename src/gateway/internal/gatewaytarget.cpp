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

/// What a target told of its load counts for so long, less and less.
constexpr Duration LoadMemory = 1s;
/// A target's own word that is as new as this goes before the registry's sum.
constexpr Duration FreshLoad = 200ms;
/// A zone opened again: its targets wait so long for the registry's word of them.
constexpr Duration ReopenHold = 4s;
constexpr Duration FirstEjection = 250ms;
constexpr uint32_t MostDoublings = 4;
/// A target that is full counts as loaded by its queue as well.
constexpr uint32_t FullFactor = 3;

} // namespace

double GatewayTarget::load(Timestamp now) const
{
    const Duration ownAge = now - loadAt;
    const Duration sumAge = sumsAt == nullptr ? LoadMemory : now - *sumsAt;
    const bool isSumUsed = sumAge < LoadMemory && ownAge >= FreshLoad;
    const Duration age = isSumUsed ? sumAge : ownAge;
    if (age >= LoadMemory)
        return inFlight;
    const uint32_t sumOfOthers = sumInFlight > toldInFlight ? sumInFlight - toldInFlight : 0;
    const uint32_t others = isSumUsed ? sumOfOthers : othersLoad;
    return inFlight + others * (1 - toSeconds(age) / toSeconds(LoadMemory));
}

bool GatewayTarget::isHeld(Timestamp now) const
{
    return namedByReport < zone->reopenedByReport && now < zone->reopenedAt + ReopenHold;
}

bool GatewayTarget::isAvailable(Timestamp now) const
{
    if (record.isLeaving || isSilent || zone->isClosed || now < ejectedUntil || isHeld(now))
        return false;
    return !isOnTrial() || inFlight == 0;
}

double GatewayTarget::usableSlots() const
{
    return std::min<double>(record.slots, backpressure.limit.value_or(record.slots));
}

void GatewayTarget::noteAnswered(Timestamp now)
{
    answeredAt = now;
    failures = 0;
    ejectedUntil = {};
}

void GatewayTarget::noteFailure(Timestamp now, bool isCertain)
{
    failures = std::max(failures + 1, isCertain ? FailuresToEject : 0);
    if (failures < FailuresToEject)
        return;
    const uint32_t doublings = std::min(failures - FailuresToEject, MostDoublings);
    ejectedUntil = now + FirstEjection * (1 << doublings);
}

void GatewayTarget::noteLoad(std::string_view text, Timestamp now)
{
    uint32_t running = 0;
    uint32_t waiting = 0;
    const char* const end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, running);
    if (first.ec != std::errc {} || first.ptr == end || *first.ptr != ',')
        return;
    if (std::from_chars(first.ptr + 1, end, waiting).ec != std::errc {})
        return;
    // Larger words are of no target: they count as full.
    const uint32_t most = record.slots * FullFactor;
    const uint32_t all = std::min(running, most) + std::min(waiting, most);
    othersLoad = all > inFlight ? all - inFlight : 0;
    loadAt = now;
}

void GatewayTarget::noteRefusal(Timestamp now)
{
    if (hasFreeSlots(now))
        return;
    othersLoad = std::max(othersLoad, record.slots * FullFactor);
    loadAt = now;
}

} // namespace saltvane::gateway
