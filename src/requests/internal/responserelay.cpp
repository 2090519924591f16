/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/responserelay.h"

#include "requests/headerfilter.h"
#include "requests/internal/callerwriter.h"
#include "requests/internal/finalizer.h"
#include "requests/internal/forwarder.h"
#include "requests/internal/keyedrequests.h"

#include <algorithm>

namespace saltvane::requests {
namespace {

constexpr int MaxStatus = 599; ///< Larger ones are invalid (RFC 9110, section 15).
const Completion BrokenResponse {.outcome = model::Outcome::Unknown, .reason = model::Reason::TargetFailed};

bool hasNoBody(const Exchange& exchange, int status)
{
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    return exchange.method == "HEAD" || status == NoContent || status == NotModified;
}

} // namespace

void ResponseRelay::handle(const model::Delivery& delivery, const model::ForwardResponseHead& head, Timestamp now)
{
    Exchange* exchange = match(delivery, head.correlation);
    if (!exchange)
        return;
    exchange->target = head.target;
    if (head.status > MaxStatus)
        return abortAttempt(*exchange, now);
    ResponseHead response {
        .status = head.status, .headers = responseHeaders(head.headers), .bodyLength = head.bodyLength};
    const bool isReplayed = exchange->attempt->purpose == model::ForwardPurpose::Mint
        && !fieldValues(head.headers, ReplayedHeader).empty();
    if (isReplayed)
        response.headers.push_back({.name = std::string(ReplayedHeader), .value = "true"});
    ResponseStream& stream = exchange->attempt->response;
    if (!stream.start(std::move(response), hasNoBody(*exchange, head.status)))
        return abortAttempt(*exchange, now);
    if (stream.isBuffered())
        return;
    context_.writer->startStream(*exchange, stream.head());
    exchange->isHeadSent = !exchange->isCallerDisconnected();
}

void ResponseRelay::handle(const model::Delivery& delivery, const model::ForwardBody& body, Timestamp now)
{
    Exchange* exchange = match(delivery, body.correlation);
    if (!exchange)
        return;
    ResponseStream& stream = exchange->attempt->response;
    if (!stream.append(body.offset, body.bytes, body.isLast))
        return abortAttempt(*exchange, now);
    if (stream.isBuffered())
        return;
    if (!exchange->isCallerDisconnected())
        return context_.writer->writeBody(*exchange, body.bytes);
    continueWithoutCaller(*exchange, now);
}

void ResponseRelay::handle(const model::Delivery& delivery, const model::ForwardEnd& end, Timestamp now)
{
    if (context_.forwarder->handleCancelledEnd(delivery.from, end))
        return;
    Exchange* exchange = match(delivery, end.correlation);
    if (!exchange)
        return;
    exchange->tries += end.tries;
    if (!end.target.isEmpty())
        exchange->target = end.target;
    const ResponseStream& stream = exchange->attempt->response;
    if (end.outcome == model::Outcome::Answered && stream.isComplete())
        return finishResponse(*exchange, now);
    const bool isContradiction
        = end.outcome == model::Outcome::Answered || (end.outcome == model::Outcome::NotRun && stream.isStarted());
    if (!end.target.isEmpty())
        exchange->excludedTargets.push_back(end.target);
    const Completion completion {.outcome = end.outcome, .reason = end.reason, .retryAfter = end.retryAfter};
    context_.forwarder->onAttemptFailed(*exchange, isContradiction ? BrokenResponse : completion, now);
}

void ResponseRelay::handle(const model::Delivery& delivery, const model::ForwardWindow& window, Timestamp)
{
    Exchange* exchange = match(delivery, window.correlation);
    if (exchange)
        context_.forwarder->extendWindow(*exchange, window.bytes);
}

void ResponseRelay::onCallerProgress(Exchange& exchange, uint64_t bytes)
{
    if (!exchange.attempt)
        return;
    Attempt& attempt = *exchange.attempt;
    const uint64_t acknowledged = std::min(bytes, attempt.response.received() - attempt.responseBytesAcknowledged);
    if (acknowledged == 0)
        return;
    attempt.responseBytesAcknowledged += acknowledged;
    context_.send(attempt.host,
        model::ForwardWindow {
            .correlation = attempt.correlation, .direction = model::Direction::ToClient, .bytes = acknowledged});
}

void ResponseRelay::continueWithoutCaller(Exchange& exchange, Timestamp now)
{
    const ResponseStream& stream = exchange.attempt->response;
    if (!stream.isStarted() || stream.isBuffered())
        return;
    if (stream.isRetained())
        return onCallerProgress(exchange, stream.received() - exchange.attempt->responseBytesAcknowledged);
    // The response is neither sent nor stored any more; only the fact that the run was answered is recorded.
    context_.forwarder->cancel(exchange, model::Reason::ClientGone, now);
    context_.finalizer->finishAnswered(exchange, now);
}

Exchange* ResponseRelay::match(const model::Delivery& delivery, CorrelationId correlation)
{
    Exchange* exchange = context_.table.findByAttempt(correlation);
    if (exchange && exchange->attempt->host == delivery.from) {
        std::optional<Incarnation>& incarnation = exchange->attempt->incarnation;
        if (!incarnation)
            incarnation = delivery.fromIncarnation;
        if (*incarnation == delivery.fromIncarnation)
            return exchange;
    }
    context_.counters->add(model::Counter::LateFrames);
    return nullptr;
}

void ResponseRelay::abortAttempt(Exchange& exchange, Timestamp now)
{
    context_.forwarder->sendCancel(exchange, model::Reason::TargetFailed, now);
    context_.forwarder->onAttemptFailed(exchange, BrokenResponse, now);
}

void ResponseRelay::finishResponse(Exchange& exchange, Timestamp now)
{
    ResponseStream& stream = exchange.attempt->response;
    const bool isBuffered = stream.isBuffered();
    const bool isRetained = stream.isRetained();
    StoredResponse response = stream.extractStored();
    context_.forwarder->endAttempt(exchange, now);
    if (isBuffered)
        context_.writer->writeComplete(exchange, response.head, response.body, false);
    else
        context_.writer->finishStream(exchange);
    if (isRetained && exchange.isRunner)
        context_.keyed->storeResponse(exchange, std::move(response));
    context_.finalizer->finishAnswered(exchange, now);
}

} // namespace saltvane::requests
