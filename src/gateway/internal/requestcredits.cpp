/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"

/// How RequestRunner comes by credits of limits: of client accounts before a target is chosen, of targets after.
namespace saltvane::gateway {

namespace {

/// Registry hosts asked for one credit, one after the other.
constexpr size_t MostSourcesForAccounts = 3;
/// There are other targets meanwhile.
constexpr size_t MostSourcesForTargets = 2;
/// Targets asked for on behalf of one request: those without a credit are left out of the next requests' choices.
constexpr size_t MostTargetsAsked = 3;

} // namespace

bool RequestRunner::hasCredit(Exchange& exchange, Timestamp now)
{
    if (!exchange.account || !exchange.account->account.limit || exchange.hasCredit)
        return true;
    const model::LimitId limit = model::limitIdOf(exchange.account->account.name);
    exchange.hasCredit = options_.credits.trySpend(limit, now);
    if (exchange.hasCredit)
        return true;
    exchange.phase = Exchange::Phase::AwaitingCredit;
    options_.credits.ask(exchange.handle, limit, MostSourcesForAccounts, now);
    return false;
}

bool RequestRunner::hasTargetCredit(Exchange& exchange, const Placed& placed, Timestamp now)
{
    const model::TargetIncarnation start = placed.target->start();
    if (!placed.target->backpressure.limit || options_.credits.trySpend(model::limitIdOf(start), now))
        return true;
    exchange.phase = Exchange::Phase::AwaitingTargetCredit;
    exchange.awaited
        = {.start = start, .choice = placed.choice, .isLikelyWarm = placed.isLikelyWarm, .work = placed.work};
    options_.credits.ask(exchange.handle, model::limitIdOf(start), MostSourcesForTargets, now);
    return false;
}

void RequestRunner::noteCredits(Timestamp now)
{
    for (const LimitCredits::Verdict& verdict : options_.credits.takeVerdicts()) {
        Exchange* exchange = find(verdict.handle);
        if (exchange == nullptr)
            continue;
        if (exchange->phase == Exchange::Phase::AwaitingTargetCredit) {
            noteTargetCredit(*exchange, verdict, now);
            continue;
        }
        exchange->hasCredit = verdict.reason == model::Reason::None;
        if (exchange->hasCredit)
            dispatch(*exchange, now);
        else
            refuse(*exchange, verdict.reason, verdict.retryAfter, now);
    }
}

void RequestRunner::noteTargetCredit(Exchange& exchange, const LimitCredits::Verdict& verdict, Timestamp now)
{
    exchange.phase = Exchange::Phase::ReceivingBody;
    const Exchange::AwaitedTarget& awaited = exchange.awaited;
    GatewayTarget* target = options_.targets.find(awaited.start);
    if (verdict.reason == model::Reason::None) {
        const model::RoutedService* service = routes_->plan().findService(exchange.service);
        const bool isUsable = target != nullptr && service != nullptr && !options_.isWordLate(now)
            && options_.targets.isUsable(*target, *service, now);
        if (isUsable)
            return send(exchange,
                {.target = target,
                    .choice = awaited.choice,
                    .isLikelyWarm = awaited.isLikelyWarm,
                    .work = awaited.work},
                now);
        options_.credits.giveBack(model::limitIdOf(awaited.start), now);
        return dispatch(exchange, now);
    }
    if (target != nullptr)
        target->backpressure.noCreditUntil = now + verdict.retryAfter;
    if (verdict.reason == model::Reason::LimitUnknown)
        options_.backpressure.noteUnknown(awaited.start);
    if (++exchange.targetCreditsRefused >= MostTargetsAsked)
        return refuse(exchange, model::Reason::BackPressure, verdict.retryAfter, now);
    dispatch(exchange, now);
}

} // namespace saltvane::gateway
