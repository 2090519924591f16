/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/answerrelay.h"

#include "requests/headerfilter.h"
#include "requests/internal/callerwriter.h"
#include "requests/internal/forwarder.h"
#include "requests/internal/keyedrequests.h"
#include "requests/internal/settler.h"

#include <algorithm>

namespace saltvane::requests {
namespace {

const Ending BrokenAnswer {.outcome = model::Outcome::Unknown, .reason = model::Reason::TargetFailed};

bool hasNoBody(const Exchange& exchange, int status)
{
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    return exchange.method == "HEAD" || status == NoContent || status == NotModified;
}

} // namespace

void AnswerRelay::handle(const model::Delivery& delivery, const model::ForwardResponseHead& head, Timestamp now)
{
    Exchange* exchange = match(delivery, head.correlation);
    if (!exchange)
        return;
    exchange->target = head.target;
    AnswerHead answer {.status = head.status, .headers = answerHeaders(head.headers), .bodyLength = head.bodyLength};
    const bool isReplayed = exchange->attempt->purpose == model::ForwardPurpose::Mint
        && !fieldValues(head.headers, ReplayedHeader).empty();
    if (isReplayed)
        answer.headers.push_back({.name = std::string(ReplayedHeader), .value = "true"});
    AnswerStream& stream = exchange->attempt->answer;
    if (!stream.start(std::move(answer), hasNoBody(*exchange, head.status)))
        return breakOff(*exchange, now);
    if (stream.isHeld())
        return;
    context_.writer->startStream(*exchange, stream.head());
    exchange->isHeadOut = !exchange->isCallerGone();
}

void AnswerRelay::handle(const model::Delivery& delivery, const model::ForwardBody& body, Timestamp now)
{
    Exchange* exchange = match(delivery, body.correlation);
    if (!exchange)
        return;
    AnswerStream& stream = exchange->attempt->answer;
    if (!stream.append(body.offset, body.bytes, body.isLast))
        return breakOff(*exchange, now);
    if (stream.isHeld())
        return;
    if (!exchange->isCallerGone())
        return context_.writer->writeBody(*exchange, body.bytes);
    goOnWithoutCaller(*exchange, now);
}

void AnswerRelay::handle(const model::Delivery& delivery, const model::ForwardEnd& end, Timestamp now)
{
    if (context_.forwarder->noteCancelledEnd(delivery.from, end))
        return;
    Exchange* exchange = match(delivery, end.correlation);
    if (!exchange)
        return;
    exchange->tries += end.tries;
    if (!end.target.isEmpty())
        exchange->target = end.target;
    const AnswerStream& stream = exchange->attempt->answer;
    if (end.outcome == model::Outcome::Answered && stream.isWhole())
        return finishAnswer(*exchange, now);
    const bool isContradiction
        = end.outcome == model::Outcome::Answered || (end.outcome == model::Outcome::NotRun && stream.isStarted());
    if (!end.target.isEmpty())
        exchange->excludedTargets.push_back(end.target);
    const Ending ending {.outcome = end.outcome, .reason = end.reason, .retryAfter = end.retryAfter};
    context_.forwarder->attemptFailed(*exchange, isContradiction ? BrokenAnswer : ending, now);
}

void AnswerRelay::handle(const model::Delivery& delivery, const model::ForwardWindow& window, Timestamp)
{
    Exchange* exchange = match(delivery, window.correlation);
    if (exchange)
        context_.forwarder->extendWindow(*exchange, window.bytes);
}

void AnswerRelay::noteProgress(Exchange& exchange, uint64_t bytes)
{
    if (!exchange.attempt)
        return;
    Attempt& attempt = *exchange.attempt;
    const uint64_t passedOn = std::min(bytes, attempt.answer.received() - attempt.answerPassedOn);
    if (passedOn == 0)
        return;
    attempt.answerPassedOn += passedOn;
    context_.send(attempt.host,
        model::ForwardWindow {
            .correlation = attempt.correlation, .direction = model::Direction::ToClient, .bytes = passedOn});
}

void AnswerRelay::goOnWithoutCaller(Exchange& exchange, Timestamp now)
{
    const AnswerStream& stream = exchange.attempt->answer;
    if (!stream.isStarted() || stream.isHeld())
        return;
    if (stream.isKept())
        return noteProgress(exchange, stream.received() - exchange.attempt->answerPassedOn);
    // Nobody will read the rest: the run is known to have answered, and that is all its record can tell.
    context_.forwarder->cancel(exchange, model::Reason::ClientGone, now);
    context_.settler->finishAnswered(exchange, now);
}

Exchange* AnswerRelay::match(const model::Delivery& delivery, CorrelationId correlation)
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

void AnswerRelay::breakOff(Exchange& exchange, Timestamp now)
{
    context_.forwarder->sendCancel(exchange, model::Reason::TargetFailed, now);
    context_.forwarder->attemptFailed(exchange, BrokenAnswer, now);
}

void AnswerRelay::finishAnswer(Exchange& exchange, Timestamp now)
{
    AnswerStream& stream = exchange.attempt->answer;
    const bool isHeld = stream.isHeld();
    const bool isKept = stream.isKept();
    StoredAnswer answer = stream.takeStored();
    context_.forwarder->endAttempt(exchange, now);
    if (isHeld)
        context_.writer->writeWhole(exchange, answer.head, answer.body, false);
    else
        context_.writer->finishStream(exchange);
    if (isKept && exchange.isRunner)
        context_.keyed->keepAnswer(exchange, std::move(answer));
    context_.settler->finishAnswered(exchange, now);
}

} // namespace saltvane::requests
