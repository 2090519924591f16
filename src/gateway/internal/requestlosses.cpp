/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"

#include <algorithm>

/// How RequestRunner notes that a request lost its target, or may have.
namespace saltvane::gateway {

namespace {

/// Of a target that is known to be gone: what it sent before may still be under way, over two regions and a slow link.
/// Then its requests are repeated or ended, instead of being held for the seconds that their route allows.
constexpr Duration LastAnswers = 500ms;

} // namespace

LostRun RequestRunner::lostRunOf(const Exchange& exchange, Timestamp now)
{
    return {.digest = exchange.digest, .target = exchange.target, .sentAt = exchange.sentAt, .lostAt = now};
}

void RequestRunner::noteGivenUp(const Exchange& exchange, Timestamp now)
{
    const GatewayTarget* target = options_.targets.find(exchange.target);
    if (target == nullptr || (!target->record.isLeaving && target->answeredAt < exchange.sentAt))
        options_.quarantine.noteGivenUp(lostRunOf(exchange, now));
}

void RequestRunner::noteLost(const requests::TargetFailed& failed, Exchange& exchange, Timestamp now)
{
    if (failed.mayHaveReachedTarget) {
        ++exchange.targetsLost;
        options_.quarantine.noteBroken(lostRunOf(exchange, now), failed.isRefused, now);
    } else if (failed.isRefused) {
        options_.quarantine.noteGone(exchange.target, now);
    }
}

void RequestRunner::noteReplaced(std::span<const model::TargetIncarnation> starts, Timestamp now)
{
    if (starts.empty())
        return;
    for (const model::TargetIncarnation& start : starts)
        options_.quarantine.noteGone(start, now);
    for (const auto& [dispatch, exchange] : dispatches_) {
        const bool isAtOne = std::ranges::find(starts, exchange->target) != starts.end();
        if (isAtOne && exchange->phase == Exchange::Phase::AwaitingHead)
            doubtAt(*exchange, std::min(exchange->checkAt, now + LastAnswers));
    }
}

void RequestRunner::leaveGone(Exchange& exchange, Timestamp now)
{
    actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
    exchange.mayHaveRun = true;
    exchange.lastFailure = "target started anew";
    exchange.isLastTargetGone = true;
    options_.quarantine.noteBroken(lostRunOf(exchange, now), true, now);
    tryElsewhere(exchange, model::Reason::TargetFailed, now);
}

} // namespace saltvane::gateway
