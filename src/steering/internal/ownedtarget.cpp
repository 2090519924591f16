/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/ownedtarget.h"

#include <algorithm>
#include <numeric>

namespace saltvane::steering {

namespace {

/// A new sample enters the smoothed latency with one divided by this as its weight.
constexpr int LatencyWeightDivisor = 8;
/// How long after a shed a report that the target is full is trusted. Otherwise one slot stays usable despite the
/// report.
constexpr Duration ShedEvidenceLifetime = 1s;

} // namespace

OwnedTarget::OwnedTarget(const PoolTarget& announced, const TargetPoolOptions& options)
    : options_(options)
    , announced_(announced)
    , slowStart_(announced.concurrencyLimit > 0 ? announced.concurrencyLimit : options.initialConcurrencyLimit,
          announced.slots)
{
}

bool OwnedTarget::update(const PoolTarget& announced)
{
    if (announced.incarnation < announced_.incarnation)
        return false;
    const bool isNewer = announced.incarnation > announced_.incarnation;
    announced_ = announced;
    isRetired_ = false;
    if (isNewer)
        startCold();
    else
        slowStart_.setMaxLimit(announced.slots);
    return true;
}

void OwnedTarget::startCold()
{
    const auto limit = announced_.concurrencyLimit > 0 ? announced_.concurrencyLimit : options_.initialConcurrencyLimit;
    slowStart_ = SlowStart(limit, announced_.slots);
    ejection_ = {};
    latency_ = {};
    needsEjection_ = false;
    hasShedRecently_ = false;
}

uint32_t OwnedTarget::usableSlots(Timestamp now) const
{
    if (!acceptsWork() || announced_.foreignInFlight >= announced_.slots)
        return 0;
    const uint32_t own = announced_.slots - announced_.foreignInFlight;
    if (ejection_.isEjected())
        return ejection_.isReadyForTrial(now) ? std::min(own, inFlight() + 1) : 0;
    const bool trustsFullReport = hasShedRecently_ && now - lastShed_ < ShedEvidenceLifetime;
    const uint32_t maxReported = trustsFullReport ? own : own - 1;
    const uint32_t reported = std::min(announced_.reportedBusyElsewhere, maxReported);
    return std::min(own - reported, slowStart_.limit());
}

uint32_t OwnedTarget::inFlight() const
{
    uint32_t sum = 0;
    for (const auto& load : loads_)
        sum += load.inFlight;
    return sum;
}

ITargetPool::Slot OwnedTarget::acquire(Timestamp now)
{
    const bool isTrial = ejection_.isReadyForTrial(now);
    if (isTrial)
        ejection_.startTrial();
    ++load(announced_.incarnation).inFlight;
    return {.target = announced_.target,
        .incarnation = announced_.incarnation,
        .address = announced_.address,
        .isTrial = isTrial};
}

bool OwnedTarget::release(Incarnation incarnation)
{
    const auto found = std::ranges::find(loads_, incarnation, &IncarnationLoad::incarnation);
    if (found == loads_.end() || found->inFlight == 0)
        return false;
    --found->inFlight;
    if (found->inFlight == 0)
        loads_.erase(found);
    return true;
}

void OwnedTarget::recordResult(
    DispatchResult result, Duration latency, bool isInTime, uint32_t inFlightBeforeRelease, Timestamp now)
{
    switch (result) {
    case DispatchResult::Answered:
        recordAnswer(latency, isInTime, inFlightBeforeRelease);
        return;
    case DispatchResult::Shed:
        recordShed(inFlightBeforeRelease, now);
        return;
    case DispatchResult::Failed:
        recordFailure(now);
        return;
    case DispatchResult::Cancelled:
        ejection_.endTrial();
        return;
    }
}

void OwnedTarget::recordAnswer(Duration latency, bool isInTime, uint32_t inFlightBeforeRelease)
{
    latency_ = latency_ == Duration::zero() ? latency : latency_ + (latency - latency_) / LatencyWeightDivisor;
    hasShedRecently_ = false;
    needsEjection_ = false;
    if (ejection_.isEjected()) {
        ejection_.restore();
        slowStart_ = SlowStart(options_.initialConcurrencyLimit, announced_.slots);
        return;
    }
    ejection_.recordAnswer(options_.failuresToEject);
    slowStart_.recordAnswer(isInTime, inFlightBeforeRelease);
}

void OwnedTarget::recordShed(uint32_t inFlightBeforeRelease, Timestamp now)
{
    hasShedRecently_ = true;
    lastShed_ = now;
    if (ejection_.isEjected()) {
        ejection_.eject(options_.ejectionTime, now);
        return;
    }
    slowStart_.recordShed(inFlightBeforeRelease);
}

void OwnedTarget::recordFailure(Timestamp now)
{
    if (ejection_.isEjected()) {
        ejection_.eject(options_.ejectionTime, now);
        return;
    }
    slowStart_.recordFailure();
    needsEjection_ = ejection_.recordFailure(options_.failuresToEject);
}

void OwnedTarget::eject(Timestamp now)
{
    needsEjection_ = false;
    ejection_.eject(options_.ejectionTime, now);
}

PoolTargetStatus OwnedTarget::status() const
{
    return {.target = announced_.target,
        .incarnation = announced_.incarnation,
        .inFlight = inFlight(),
        .concurrencyLimit = slowStart_.limit(),
        .isEjected = ejection_.isEjected(),
        .latency = latency_};
}

OwnedTarget::IncarnationLoad& OwnedTarget::load(Incarnation incarnation)
{
    const auto found = std::ranges::find(loads_, incarnation, &IncarnationLoad::incarnation);
    if (found != loads_.end())
        return *found;
    loads_.push_back({.incarnation = incarnation});
    return loads_.back();
}

} // namespace saltvane::steering
