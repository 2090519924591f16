/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"

#include <algorithm>
#include <utility>

/// RequestRunner: requests that lost their target, or may have.
namespace saltvane::gateway {

namespace {

/// How long responses of a target that has stopped may still arrive, over two regions and a slow link. After that its
/// requests are retried or failed, instead of waiting until the route's timeout.
constexpr Duration LastResponsesTimeout = 500ms;
/// A caller that has read nothing for this long holds up the response itself.
constexpr Duration CallerStallTimeout = 250ms;
/// A response is overlong from this multiple of the largest recent response of its route.
constexpr uint32_t OverlongFactor = 2;

} // namespace

LostRun RequestRunner::lostRunOf(const Exchange& exchange, Timestamp now)
{
    return {.digest = exchange.digest, .target = exchange.target, .sentAt = exchange.sentAt, .lostAt = now};
}

void RequestRunner::onRunAbandoned(const Exchange& exchange, Timestamp now)
{
    if (exchange.isAtPeer)
        return;
    const GatewayTarget* target = options_.targets.find(exchange.target);
    if (target == nullptr || (!target->record.isLeaving && target->answeredAt < exchange.sentAt))
        options_.quarantine.onRunAbandoned(lostRunOf(exchange, now));
}

bool RequestRunner::isResponseOverdue(const Exchange& exchange, Timestamp now)
{
    const bool isStreaming = exchange.phase == Exchange::Phase::Streaming;
    const bool hasHead = isStreaming || exchange.phase == Exchange::Phase::ReceivingResponse;
    if (exchange.isAtPeer || !hasHead || now - exchange.sentAt - exchange.timeToHead < MinBodyTime)
        return false;
    if (!isStreaming)
        return true;
    // A large response of known length may be slow because of this gateway's own link or the caller.
    const bool isCallerBehind = exchange.bytesReadByCaller < exchange.responseBytes;
    const bool isCallerReading = !isCallerBehind || now - exchange.callerReadAt < CallerStallTimeout;
    return !exchange.isResponseLengthKnown && isCallerReading;
}

void RequestRunner::recordBrokenResponse(Exchange& exchange, Timestamp now)
{
    GatewayTarget* target = options_.targets.find(exchange.target);
    if (target != nullptr && !std::exchange(exchange.isResponseBroken, true))
        target->onResponseBroken(now);
}

Timestamp RequestRunner::overlongAt(const Exchange& exchange) const
{
    const Duration usual = bodyExtents_.largest(exchange.route.name).value_or(BodyExtents::Extent {}).duration;
    const Duration limit = std::max({usual * OverlongFactor, exchange.route.objective, MinBodyTime});
    return exchange.sentAt + exchange.timeToHead + limit;
}

bool RequestRunner::isOverlong(const Exchange& exchange) const
{
    const bool isCallerBehind = exchange.bytesReadByCaller < exchange.responseBytes;
    if (!isCallerBehind)
        return true;
    // A caller that reads slowly prolongs the response, but doesn't make it larger.
    const std::optional<BodyExtents::Extent> largest = bodyExtents_.largest(exchange.route.name);
    return !exchange.isResponseLengthKnown && largest && exchange.bytesReadByCaller / OverlongFactor > largest->bytes;
}

void RequestRunner::checkStreamed(Exchange& exchange, Timestamp now)
{
    GatewayTarget* target = options_.targets.find(exchange.target);
    if (target == nullptr)
        return;
    if (!isOverlong(exchange))
        return scheduleCheck(exchange, now + MinBodyTime);
    exchange.isResponseOverlong = true;
    ++target->overlongResponses;
}

void RequestRunner::recordUnfinishedResponse(const Exchange& exchange, Timestamp now)
{
    GatewayTarget* target = options_.targets.find(exchange.target);
    if (target != nullptr && exchange.isResponseOverlong)
        target->onResponseUnfinished(now);
}

void RequestRunner::onTargetLost(const requests::TargetFailed& failed, Exchange& exchange, Timestamp now)
{
    if (failed.mayHaveReachedTarget) {
        ++exchange.targetsLost;
        options_.quarantine.onConnectionLost(lostRunOf(exchange, now), failed.isRefused, now);
    } else if (failed.isRefused) {
        options_.quarantine.onTargetStopped(exchange.target, now);
    }
}

void RequestRunner::onTargetsReplaced(std::span<const model::TargetIncarnation> targetIncarnations, Timestamp now)
{
    if (targetIncarnations.empty())
        return;
    for (const model::TargetIncarnation& targetIncarnation : targetIncarnations)
        options_.quarantine.onTargetStopped(targetIncarnation, now);
    for (const auto& [dispatch, exchange] : dispatches_) {
        const bool isAffected = std::ranges::find(targetIncarnations, exchange->target) != targetIncarnations.end();
        if (isAffected && exchange->phase == Exchange::Phase::AwaitingHead)
            scheduleStallCheck(*exchange, std::min(exchange->stalledAt, now + LastResponsesTimeout));
    }
}

void RequestRunner::abandonStopped(Exchange& exchange, Timestamp now)
{
    actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
    exchange.recordPossibleRun();
    exchange.lastFailure = "target started anew";
    exchange.isLastTargetGone = true;
    options_.quarantine.onConnectionLost(lostRunOf(exchange, now), true, now);
    retryElsewhere(exchange, model::Reason::TargetFailed, now);
}

} // namespace saltvane::gateway
