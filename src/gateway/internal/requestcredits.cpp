/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"

/// RequestRunner: credits of limits, of client accounts before a target is selected and of targets after that.
namespace saltvane::gateway {

namespace {

/// Registry hosts that are asked in turn for an account's credit.
constexpr size_t MaxSourcesPerAccountCredit = 3;
/// Fewer for a target's credit, since other targets may take the request.
constexpr size_t MaxSourcesPerTargetCredit = 2;
/// Targets for which one request may ask for a credit. Targets without one are skipped by the next requests.
constexpr size_t MaxTargetsAskedForCredit = 3;

} // namespace

std::optional<model::AccountLimitNotice> RequestRunner::accountLimitOf(const Exchange& exchange) const
{
    // The plan may have been replaced since the request's arrival.
    const model::AccountRef account = routes_->findAccountNamed(exchange.account->account.name);
    if (!account || !account->account.limit)
        return std::nullopt;
    return model::AccountLimitNotice {.limit = model::limitIdOf(account->account.name),
        .rate = *account->account.limit,
        .plan = routes_->planPosition()};
}

bool RequestRunner::tryAcquireCredit(Exchange& exchange, Timestamp now)
{
    if (!exchange.account || !exchange.account->account.limit || exchange.hasCredit)
        return true;
    const model::LimitId limit = model::limitIdOf(exchange.account->account.name);
    exchange.hasCredit = options_.credits.trySpend(limit, now);
    if (exchange.hasCredit)
        return true;
    exchange.phase = Exchange::Phase::AwaitingCredit;
    options_.credits.request({.handle = exchange.handle,
                                 .limit = limit,
                                 .accountLimit = accountLimitOf(exchange),
                                 .maxSources = MaxSourcesPerAccountCredit},
        now);
    return false;
}

bool RequestRunner::tryAcquireTargetCredit(Exchange& exchange, const TargetSelection& selection, Timestamp now)
{
    const model::TargetIncarnation targetIncarnation = selection.target->targetIncarnation();
    if (!selection.target->backpressure.limit || options_.credits.trySpend(model::limitIdOf(targetIncarnation), now))
        return true;
    exchange.phase = Exchange::Phase::AwaitingTargetCredit;
    exchange.awaited = {.targetIncarnation = targetIncarnation,
        .choice = selection.choice,
        .isLikelyWarm = selection.isLikelyWarm,
        .processingTime = selection.processingTime,
        .isForCorrection = selection.isForCorrection};
    options_.credits.request({.handle = exchange.handle,
                                 .limit = model::limitIdOf(targetIncarnation),
                                 .targetLimit = model::BackpressureNotice {.target = targetIncarnation,
                                     .limit = selection.target->backpressure.limit,
                                     .age = now - selection.target->backpressure.limitUpdatedAt},
                                 .maxSources = MaxSourcesPerTargetCredit},
        now);
    return false;
}

void RequestRunner::onCreditResults(Timestamp now)
{
    for (const LimitCredits::CreditResult& result : options_.credits.drainResults()) {
        Exchange* exchange = find(result.handle);
        if (exchange == nullptr)
            continue;
        if (exchange->phase == Exchange::Phase::AwaitingTargetCredit) {
            onTargetCreditResult(*exchange, result, now);
            continue;
        }
        exchange->hasCredit = result.reason == model::Reason::None;
        if (exchange->hasCredit)
            dispatch(*exchange, now);
        else
            refuse(*exchange, result.reason, result.retryAfter, now);
    }
}

void RequestRunner::onTargetCreditResult(Exchange& exchange, const LimitCredits::CreditResult& result, Timestamp now)
{
    exchange.phase = Exchange::Phase::ReceivingBody;
    const Exchange::AwaitedTarget& awaited = exchange.awaited;
    GatewayTarget* target = options_.targets.find(awaited.targetIncarnation);
    if (result.reason == model::Reason::None) {
        const model::RoutedService* service = routes_->plan().findService(exchange.service);
        const bool isUsable = target != nullptr && service != nullptr && !options_.isRegistryLate(now)
            && canCompleteBeforeStop(exchange, now) && options_.reachability.isReachable()
            && options_.targets.isUsable(*target, *service, now);
        if (isUsable)
            return send(exchange,
                {.target = target,
                    .choice = awaited.choice,
                    .isLikelyWarm = awaited.isLikelyWarm,
                    .processingTime = awaited.processingTime,
                    .isForCorrection = awaited.isForCorrection},
                now);
        options_.credits.returnCredit(model::limitIdOf(awaited.targetIncarnation), now);
        return dispatch(exchange, now);
    }
    if (target != nullptr)
        target->backpressure.noCreditUntil = now + result.retryAfter;
    if (result.reason == model::Reason::LimitUnknown)
        options_.backpressure.reportAgain(awaited.targetIncarnation);
    if (++exchange.targetCreditsRefused >= MaxTargetsAskedForCredit)
        return refuse(exchange, model::Reason::BackPressure, result.retryAfter, now);
    dispatch(exchange, now);
}

} // namespace saltvane::gateway
