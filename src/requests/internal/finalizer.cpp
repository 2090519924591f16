/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/finalizer.h"

#include "requests/internal/callerwriter.h"
#include "requests/internal/forwarder.h"
#include "requests/internal/keyedrequests.h"
#include "requests/internal/responserelay.h"

namespace saltvane::requests {

void Finalizer::giveUp(Exchange& exchange, model::Reason reason, Duration retryAfter, Timestamp now)
{
    const bool isNotRun = isKnownNotRun(exchange, now);
    refuse(exchange,
        {.outcome = isNotRun ? model::Outcome::NotRun : model::Outcome::Unknown,
            .reason = reason,
            .retryAfter = retryAfter},
        now);
}

void Finalizer::refuse(Exchange& exchange, const Completion& completion, Timestamp now)
{
    if (exchange.isHeadSent)
        context_.writer->abort(exchange, completion);
    else
        context_.writer->writeRefusal(exchange, completion);
    finish(exchange, completion, now);
}

void Finalizer::finishAnswered(Exchange& exchange, Timestamp now)
{
    if (exchange.hasReachedZoneChoice)
        context_.options.retryBudget->recordAnswer(now);
    exchange.isHeadSent = false; // The exchange stays until the caller has received all bytes.
    finish(exchange, {.outcome = model::Outcome::Answered}, now);
}

void Finalizer::finishForDisconnectedCaller(Exchange& exchange, model::Reason reason, Timestamp now)
{
    if (exchange.phase == Phase::Finalized)
        return context_.table.remove(exchange);
    const bool isAtOwner = exchange.attempt && exchange.attempt->purpose == model::ForwardPurpose::Dispatch;
    if (isAtOwner && exchange.isRunner && exchange.body.isComplete()) {
        if (const auto* forwarded = std::get_if<ForwardedOrigin>(&exchange.origin); forwarded)
            context_.writer->abort(exchange, {.outcome = model::Outcome::Unknown, .reason = reason});
        context_.table.detachCaller(exchange);
        return context_.responses->continueWithoutCaller(exchange, now);
    }
    if (exchange.attempt)
        context_.forwarder->cancel(exchange, reason, now);
    const bool isNotRun = isKnownNotRun(exchange, now);
    const Completion completion {
        .outcome = isNotRun ? model::Outcome::NotRun : model::Outcome::Unknown, .reason = reason};
    if (std::holds_alternative<ForwardedOrigin>(exchange.origin))
        context_.writer->abort(exchange, completion);
    context_.table.detachCaller(exchange);
    finish(exchange, completion, now);
}

void Finalizer::finishForDeadline(Exchange& exchange, Timestamp now)
{
    const model::Reason reason
        = exchange.phase == Phase::Claiming ? model::Reason::NoQuorum : model::Reason::DeadlineExceeded;
    if (exchange.attempt)
        context_.forwarder->cancel(exchange, reason, now);
    giveUp(exchange, reason, DefaultRetryAfter, now);
}

void Finalizer::terminate(Exchange& exchange, Timestamp now)
{
    if (exchange.phase == Phase::Finalized) {
        if (const auto* http = std::get_if<HttpOrigin>(&exchange.origin))
            context_.actions.emplace_back(HttpAbort {.handle = http->handle});
        return context_.table.remove(exchange);
    }
    if (exchange.attempt)
        context_.forwarder->cancel(exchange, model::Reason::StopTimeLimit, now);
    giveUp(exchange, model::Reason::StopTimeLimit, DefaultRetryAfter, now);
}

bool Finalizer::isKnownNotRun(const Exchange& exchange, Timestamp now) const
{
    if (exchange.mayHaveRun)
        return false;
    if (exchange.isRepeatable || exchange.idempotencyKey.empty())
        return true;
    return context_.keyed->isKnownNotRun(exchange, now);
}

void Finalizer::finish(Exchange& exchange, const Completion& completion, Timestamp now)
{
    countOutcome(exchange, completion);
    writeAccessRecord(exchange, completion, now);
    if (exchange.hasReachedZoneChoice) {
        const auto service = context_.deployment->findService(exchange.service);
        const auto region = context_.deployment->findRegion(exchange.clientRegion);
        if (service && region)
            context_.options.steering->recordRequestCompletion(*service, *region, now - exchange.arrival, now);
    }
    if (exchange.phase == Phase::WaitingForRun)
        context_.keyed->removeWaiter(exchange);
    context_.table.removeWaiting(exchange);
    context_.table.clearDeadline(exchange);
    exchange.phase = Phase::Finalized;
    const bool isReportedToCaller = !exchange.isCallerDisconnected();
    const bool isFlushing
        = std::holds_alternative<HttpOrigin>(exchange.origin) && !exchange.isHeadSent && !exchange.isResponseDelivered;
    if (!isFlushing)
        context_.table.remove(exchange);
    if (exchange.isRunner)
        context_.keyed->completeRun(exchange, completion, isReportedToCaller, now);
}

void Finalizer::countOutcome(const Exchange& exchange, const Completion& completion)
{
    using model::Counter;
    model::Counters& counters = *context_.counters;
    if (completion.outcome == model::Outcome::Answered)
        counters.add(Counter::RequestsAnswered);
    if (completion.outcome == model::Outcome::NotRun) {
        counters.add(Counter::RequestsNotRun);
        counters.addRefusal(completion.reason);
    }
    if (completion.outcome == model::Outcome::Unknown) {
        counters.add(Counter::RequestsUnknown);
        counters.addUnknown(completion.reason);
    }
    if (exchange.isHeadSent && !exchange.isCallerDisconnected())
        counters.add(Counter::BrokenBodies);
}

void Finalizer::writeAccessRecord(const Exchange& exchange, const Completion& completion, Timestamp now)
{
    context_.actions.emplace_back(AccessRecord {.request = exchange.request,
        .service = exchange.service,
        .method = exchange.method,
        .clientRegion = exchange.clientRegion,
        .zone = exchange.zone,
        .owner = exchange.owner,
        .target = exchange.target,
        .tries = exchange.tries,
        .outcome = completion.outcome,
        .reason = completion.reason,
        .status = exchange.status,
        .total = now - exchange.arrival,
        .isOwnerSide = false});
}

} // namespace saltvane::requests
