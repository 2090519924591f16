/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"
#include "requests/headerfilter.h"

/// How RequestRunner ends requests: refusals, unknown outcomes, answers, and what has to be given back.
namespace saltvane::gateway {

namespace {

/// Callers know by these that a request has not run, and may send it again.
constexpr int StatusUnavailable = 503;
constexpr int StatusTooManyRequests = 429;

int notRunStatus(model::Reason reason)
{
    return reason == model::Reason::RateLimited ? StatusTooManyRequests : StatusUnavailable;
}

std::string secondsText(Duration duration)
{
    // Thousandths are all that a caller can use.
    std::string text = std::to_string(toSeconds(duration));
    return text.substr(0, text.size() - 3);
}

} // namespace

/// After the last try: "not run" only where that is known.
void RequestRunner::giveUp(Exchange& exchange, model::Reason reason, Timestamp now)
{
    if (!exchange.mayHaveRun)
        return refuse(exchange, reason, UsualRetryAfter, now);
    options_.counters.add(model::Counter::RequestsUnknown);
    options_.counters.addUnknown(reason);
    const int status = model::httpStatus(model::Outcome::Unknown, reason);
    refuseAtOnce(exchange.handle, status, reason, Duration::zero());
    finish(
        exchange, {.exchange = exchange, .outcome = model::Outcome::Unknown, .reason = reason, .status = status}, now);
}

void RequestRunner::refuse(Exchange& exchange, model::Reason reason, Duration retryAfter, Timestamp now)
{
    if (exchange.mayHaveRun) // A repeat found no place; the first try may have run.
        return giveUp(exchange, exchange.lastReason, now);
    refuseAtOnce(exchange.handle, 0, reason, retryAfter, true);
    finish(exchange,
        {.exchange = exchange, .outcome = model::Outcome::NotRun, .reason = reason, .status = notRunStatus(reason)},
        now);
}

void RequestRunner::refuseEarly(
    const requests::HttpRequestStarted& request, const PlannedRoute* route, const EarlyRefusal& refusal, Timestamp now)
{
    Exchange exchange {.handle = request.handle,
        .id = RequestId(requests::firstFieldValue(request.headers, options_.headers.requestId)),
        .startedAt = now};
    if (route != nullptr)
        exchange.route = route->route;
    if (routes_)
        exchange.planVersion = routes_->plan().version;
    const int status = refusal.status == 0 ? StatusUnavailable : refusal.status;
    options_.onDecided(
        {.exchange = exchange, .outcome = model::Outcome::NotRun, .reason = refusal.reason, .status = status}, now);
    // With a body still on its way the close could reset the connection before the answer is read.
    const bool isWhole = request.bodyLength == 0;
    refuseAtOnce(request.handle, refusal.status, refusal.reason, refusal.retryAfter, refusal.status == 0 && isWhole);
}

void RequestRunner::refuseAtOnce(
    requests::HttpHandle handle, int status, model::Reason reason, Duration retryAfter, bool isConnectionClosed)
{
    const bool isNotRun = status == 0;
    if (isNotRun) {
        status = notRunStatus(reason);
        options_.counters.add(model::Counter::RequestsNotRun);
        options_.counters.addRefusal(reason);
    }
    std::string text = std::string(model::toString(reason)) + "\n";
    const uint64_t length = text.size();
    requests::HttpRespond answer {.handle = handle,
        .status = status,
        .headers = {{.name = "Content-Type", .value = "text/plain; charset=utf-8"},
            {.name = std::string(requests::ReasonHeader), .value = std::string(model::toString(reason))}},
        .bodyLength = length,
        .bytes = std::move(text)};
    if (isNotRun)
        answer.headers.push_back({.name = std::string(requests::RetryAfterHeader),
            .value = secondsText(isLeaving_ ? StopRetryAfter : retryAfter)});
    respond(std::move(answer), isConnectionClosed);
}

void RequestRunner::respond(requests::HttpRespond answer, bool isConnectionClosed)
{
    if (isLeaving_ || isConnectionClosed)
        answer.headers.push_back({.name = "Connection", .value = "close"});
    answering_.insert(answer.handle);
    actions_.emplace_back(std::move(answer));
}

void RequestRunner::abort(const Exchange& exchange)
{
    answering_.erase(exchange.handle);
    actions_.emplace_back(requests::HttpAbort {.handle = exchange.handle});
}

void RequestRunner::finish(Exchange& exchange, Decision decision, Timestamp now)
{
    options_.onDecided(decision, now);
    giveBackCredit(exchange, now);
    erase(exchange);
}

void RequestRunner::giveBackCredit(const Exchange& exchange, Timestamp now)
{
    const bool isAwaiting
        = exchange.phase == Exchange::Phase::AwaitingCredit || exchange.phase == Exchange::Phase::AwaitingTargetCredit;
    if (isAwaiting)
        options_.credits.forget(exchange.handle);
    if (exchange.hasCredit && exchange.account && exchange.account->account.limit)
        options_.credits.giveBack(model::limitIdOf(exchange.account->account.name), now);
}

void RequestRunner::erase(Exchange& exchange)
{
    releaseTarget(exchange);
    deadlines_.erase({exchange.deadline, exchange.handle});
    if (exchange.isOnLink)
        options_.link.noteEnded(exchange.answerBytes);
    const requests::HttpHandle handle = exchange.handle;
    exchanges_.erase(handle);
}

} // namespace saltvane::gateway
