/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"
#include "requests/headerfilter.h"

/// RequestRunner: completion of requests by a refusal, an unknown outcome or a response, and the release of what they
/// used.
namespace saltvane::gateway {

namespace {

int notRunStatus(model::Reason reason)
{
    return reason == model::Reason::RateLimited ? StatusTooManyRequests : StatusUnavailable;
}

std::string secondsText(Duration duration)
{
    // Milliseconds are precise enough for callers.
    std::string text = std::to_string(toSeconds(duration));
    return text.substr(0, text.size() - 3);
}

} // namespace

/// Called after the last attempt. Reports "not run" only if that is certain.
void RequestRunner::fail(Exchange& exchange, model::Reason reason, Timestamp now)
{
    if (!exchange.mayHaveRun)
        return refuse(exchange, reason, DefaultRetryAfter, now);
    options_.counters.add(model::Counter::RequestsUnknown);
    options_.counters.addUnknown(reason);
    const int status = model::httpStatus(model::Outcome::Unknown, reason);
    respondWithError(exchange, status, reason, Duration::zero());
    finish(
        exchange, {.exchange = exchange, .outcome = model::Outcome::Unknown, .reason = reason, .status = status}, now);
}

void RequestRunner::refuse(Exchange& exchange, model::Reason reason, Duration retryAfter, Timestamp now)
{
    if (exchange.mayHaveRun) // No target accepted the retry; the first attempt may have been run.
        return fail(exchange, exchange.lastReason, now);
    respondWithError(exchange, 0, reason, retryAfter, true);
    finish(exchange,
        {.exchange = exchange, .outcome = model::Outcome::NotRun, .reason = reason, .status = notRunStatus(reason)},
        now);
}

void RequestRunner::rejectFinally(
    Exchange& exchange, int status, model::Reason reason, bool isConnectionClosed, Timestamp now)
{
    if (exchange.mayHaveRun)
        return fail(exchange, reason, now);
    options_.counters.addRefusal(reason);
    respondWithError(exchange, status, reason, Duration::zero(), isConnectionClosed);
    finish(
        exchange, {.exchange = exchange, .outcome = model::Outcome::NotRun, .reason = reason, .status = status}, now);
}

void RequestRunner::refuseOnArrival(const requests::HttpRequestStarted& request, const PlannedRoute* route,
    const Origin& origin, const EarlyRefusal& refusal, Timestamp now)
{
    Exchange exchange {.handle = request.handle,
        .id = RequestId(requests::firstFieldValue(request.headers, options_.headers.requestId)),
        .startedAt = now,
        .isForwarded = origin.forwarded.has_value()};
    if (route != nullptr)
        exchange.route = route->route;
    if (routes_) {
        exchange.planVersion = routes_->plan().version;
        exchange.planIndex = routes_->planPosition().index;
    }
    if (origin.plan)
        exchange.peerPlanIndex = origin.plan->planIndex;
    const int status = refusal.status == 0 ? StatusUnavailable : refusal.status;
    options_.onDecided(
        {.exchange = exchange, .outcome = model::Outcome::NotRun, .reason = refusal.reason, .status = status}, now);
    // While the body is still arriving, closing could reset the connection before the caller reads the response.
    const bool isWhole = request.bodyLength == 0;
    respondWithError(exchange, refusal.status, refusal.reason, refusal.retryAfter, refusal.status == 0 && isWhole);
}

void RequestRunner::respondWithError(
    const Exchange& exchange, int status, model::Reason reason, Duration retryAfter, bool isConnectionClosed)
{
    const bool isNotRun = status == 0;
    if (isNotRun) {
        status = notRunStatus(reason);
        options_.counters.add(model::Counter::RequestsNotRun);
        options_.counters.addRefusal(reason);
    }
    std::string text = std::string(model::toString(reason)) + "\n";
    const uint64_t length = text.size();
    requests::HttpRespond response {.handle = exchange.handle,
        .status = status,
        .headers = {{.name = "Content-Type", .value = "text/plain; charset=utf-8"},
            {.name = std::string(requests::ReasonHeader), .value = std::string(model::toString(reason))}},
        .bodyLength = length,
        .bytes = std::move(text)};
    // Senders keep connections for many requests: by the id they can tell that the response belongs to this one.
    if (!exchange.id.isEmpty())
        response.headers.push_back({.name = options_.headers.requestId, .value = exchange.id.value()});
    if (exchange.isForwarded)
        addForwardedPlan(response.headers, exchange);
    if (isNotRun)
        response.headers.push_back({.name = std::string(requests::RetryAfterHeader),
            .value = secondsText(stopAt_ ? StoppingRetryAfter : retryAfter)});
    respond(std::move(response), isConnectionClosed);
}

void RequestRunner::respond(requests::HttpRespond response, bool isConnectionClosed)
{
    if (stopAt_ || isConnectionClosed)
        response.headers.push_back({.name = "Connection", .value = "close"});
    pendingResponses_.try_emplace(response.handle);
    actions_.emplace_back(std::move(response));
}

void RequestRunner::abort(const Exchange& exchange)
{
    pendingResponses_.erase(exchange.handle);
    actions_.emplace_back(requests::HttpAbort {.handle = exchange.handle});
}

void RequestRunner::finish(Exchange& exchange, Decision decision, Timestamp now)
{
    options_.onDecided(decision, now);
    returnUnusedCredit(exchange, now);
    erase(exchange);
}

void RequestRunner::returnUnusedCredit(const Exchange& exchange, Timestamp now)
{
    const bool isAwaiting
        = exchange.phase == Exchange::Phase::AwaitingCredit || exchange.phase == Exchange::Phase::AwaitingTargetCredit;
    if (isAwaiting)
        options_.credits.cancel(exchange.handle);
    if (exchange.hasCredit && exchange.account && exchange.account->account.limit)
        options_.credits.returnCredit(model::limitIdOf(exchange.account->account.name), now);
}

void RequestRunner::erase(Exchange& exchange)
{
    releaseTarget(exchange);
    bodies_.end(exchange.body);
    deadlines_.erase({exchange.deadline, exchange.handle});
    if (exchange.isInLinkBudget)
        options_.link.recordCompletion(exchange.responseBytes);
    const requests::HttpHandle handle = exchange.handle;
    exchanges_.erase(handle);
}

} // namespace saltvane::gateway
