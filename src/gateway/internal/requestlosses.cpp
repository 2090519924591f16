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
