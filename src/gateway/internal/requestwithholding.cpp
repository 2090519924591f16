/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"

/// RequestRunner: requests whose first byte is sent, or withheld, some time after they were dispatched. Meanwhile the
/// connection to the target was established, and the process may have been stalled.
namespace saltvane::gateway {

model::Reason RequestRunner::recheck(requests::DispatchId dispatch, Timestamp now)
{
    Exchange* exchange = find(dispatch);
    if (exchange == nullptr)
        return model::Reason::ClientGone;
    const model::Reason reason = reasonToWithhold(*exchange, now);
    if (reason == model::Reason::None)
        exchange->firstByteAt = now;
    return reason;
}

model::Reason RequestRunner::reasonToWithhold(const Exchange& exchange, Timestamp now) const
{
    if (now >= exchange.deadline)
        return model::Reason::DeadlineExceeded;
    if (options_.isRegistryLate(now))
        return model::Reason::StaleState;
    if (!canCompleteBeforeStop(exchange, now))
        return model::Reason::Stopping;
    if (!exchange.wasBlamed && options_.quarantine.isBlamed(exchange.digest))
        return model::Reason::RequestQuarantined;
    if (exchange.isAtPeer)
        return model::Reason::None;
    if (isSuperseded(exchange))
        return model::Reason::StaleState;
    const GatewayTarget* target = options_.targets.find(exchange.target);
    if (target == nullptr)
        return model::Reason::NoTarget;
    const model::TargetRecord& record = target->record;
    const bool isExcluded
        = options_.targets.rollouts().roleOf(record.service, record.version, now) == VersionRole::Excluded;
    const bool hasMoved = record.address != exchange.targetAddress;
    const SendLimit limit = options_.targets.limitOf(*target, now);
    const bool isNewlyLimited = limit != SendLimit::None && limit != exchange.sendLimit;
    const bool mayReceive = target->mayReceive(now) && !isNewlyLimited;
    return hasMoved || isExcluded || !mayReceive ? model::Reason::NoTarget : model::Reason::None;
}

void RequestRunner::onWithheld(Exchange& exchange, model::Reason reason, Timestamp now)
{
    options_.counters.addWithheld(reason);
    ++exchange.timesWithheld;
    releaseUnsent(exchange, now);
    if (reason == model::Reason::DeadlineExceeded)
        return fail(exchange, reason, now);
    if (reason == model::Reason::ClientGone) {
        const auto outcome = exchange.mayHaveRun ? model::Outcome::Unknown : model::Outcome::NotRun;
        return finish(exchange, {.exchange = exchange, .outcome = outcome, .reason = reason}, now);
    }
    dispatch(exchange, now);
}

void RequestRunner::releaseUnsent(Exchange& exchange, Timestamp now)
{
    if (!exchange.isAtPeer) {
        options_.targets.rollouts().recordWithheld(exchange.service, exchange.versionRole);
        if (exchange.usesTargetCredit)
            options_.credits.returnCredit(model::limitIdOf(exchange.target), now);
        exchange.hasCredit = true;
        exchange.isCompared = false;
        exchange.attemptedTargets.pop_back();
    }
    releaseTarget(exchange);
}

} // namespace saltvane::gateway
