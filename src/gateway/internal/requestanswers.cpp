/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"
#include "requests/headerfilter.h"

#include <utility>

/// What RequestRunner makes of what targets answer, and of targets that fail.
namespace saltvane::gateway {

namespace {

/// Answers up to it are gathered whole, so that a request whose answer breaks off can be repeated. Larger ones would
/// cross the gateway's link twice, one time after the other.
constexpr uint64_t LargestGathered = 16 * 1024;

constexpr int StatusMisdirected = 421;

} // namespace

void RequestRunner::accept(requests::TargetResponseHead& head, Exchange& exchange, Timestamp now)
{
    GatewayTarget* target = options_.targets.find(exchange.target);
    const std::string_view load = requests::firstFieldValue(head.headers, options_.headers.load);
    if (target != nullptr && !load.empty())
        target->noteLoad(load, now);
    const std::string_view id = requests::firstFieldValue(head.headers, options_.headers.requestId);
    const bool isNotRun = !requests::firstFieldValue(head.headers, options_.headers.notRun).empty();
    const bool isRefusal = isNotRun || head.status == StatusMisdirected;
    // A surplus answer of an earlier request carries another id. Only a refusal may come without any.
    const bool isOwn = id == exchange.id.value() || (id.empty() && isRefusal);
    if (!isOwn) {
        actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
        exchange.mayHaveRun = true;
        exchange.lastFailure = "answer of another request";
        return tryElsewhere(exchange, model::Reason::TargetFailed, now);
    }
    // Another target's word says nothing of the one that was asked.
    if (head.status != StatusMisdirected)
        options_.backpressure.note({.target = exchange.target,
                                       .status = head.status,
                                       .headers = head.headers,
                                       .isNotRun = isNotRun,
                                       .sentAt = exchange.sentAt},
            now);
    if (isRefusal)
        return noteRefusedByTarget(exchange, head.status, now);
    options_.quarantine.noteAlive(exchange.target);
    exchange.toHead = now - exchange.sentAt;
    options_.latencies.add(exchange.route.kind, Stage::Target, exchange.toHead);
    if (target != nullptr)
        options_.placement.noteAnswer(*target,
            {.route = exchange.route.name,
                .object = exchange.object,
                .taken = now - exchange.sentAt,
                .loadAtStart = exchange.loadAtStart,
                .choice = exchange.choice},
            now);
    doubts_.erase({exchange.checkAt, exchange.handle});
    exchange.phase = Exchange::Phase::ReceivingAnswer;
    exchange.answer = {.handle = exchange.handle,
        .status = head.status,
        .headers = requests::endToEndHeaders(head.headers),
        .bodyLength = head.bodyLength,
        .isLast = false};
    if (head.bodyLength.value_or(0) > LargestGathered)
        startStreaming(exchange);
}

void RequestRunner::startStreaming(Exchange& exchange)
{
    exchange.phase = Exchange::Phase::Streaming;
    exchange.isAnswerStarted = true;
    exchange.answer.isLast = false;
    respond(std::move(exchange.answer));
    exchange.answer = {};
}

void RequestRunner::noteRefusedByTarget(Exchange& exchange, int status, Timestamp now)
{
    actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
    exchange.hasCredit = true; // Only runs use credits up.
    if (status == StatusMisdirected) {
        options_.targets.noteGone(exchange.target);
        options_.quarantine.noteGone(exchange.target, now);
    } else if (GatewayTarget* target = options_.targets.find(exchange.target)) {
        target->noteRefusal(now);
    }
    tryElsewhere(exchange, model::Reason::TargetShed, now);
}

void RequestRunner::accept(requests::TargetResponseBody& body, Exchange& exchange, Timestamp /*now*/)
{
    exchange.answerBytes += body.bytes.size();
    if (exchange.phase == Exchange::Phase::Streaming) {
        actions_.emplace_back(requests::HttpResponseBody {.handle = exchange.handle, .bytes = std::move(body.bytes)});
        return;
    }
    actions_.emplace_back(requests::TargetResponseWindow {.dispatch = exchange.dispatch, .bytes = body.bytes.size()});
    exchange.answer.bytes += body.bytes;
    if (exchange.answer.bytes.size() > LargestGathered)
        startStreaming(exchange);
}

void RequestRunner::accept(requests::TargetResponseDone& /*done*/, Exchange& exchange, Timestamp now)
{
    releaseTarget(exchange);
    options_.quarantine.noteAnswered(exchange.digest, now);
    const int status = exchange.answer.status;
    if (exchange.phase == Exchange::Phase::Streaming) {
        actions_.emplace_back(requests::HttpResponseBody {.handle = exchange.handle, .isLast = true});
    } else {
        exchange.answer.bodyLength = exchange.answer.bytes.size();
        exchange.answer.isLast = true;
        respond(std::move(exchange.answer));
    }
    options_.counters.add(model::Counter::RequestsAnswered);
    options_.latencies.add(exchange.route.kind, Stage::Total, now - exchange.startedAt);
    finish(exchange, {.exchange = exchange, .outcome = model::Outcome::Answered, .status = status}, now);
}

void RequestRunner::accept(requests::TargetRequestProgress& /*progress*/, Exchange& /*exchange*/, Timestamp /*now*/) { }

void RequestRunner::accept(requests::TargetFailed& failed, Exchange& exchange, Timestamp now)
{
    if (GatewayTarget* target = options_.targets.find(exchange.target))
        target->noteFailure(now, !failed.mayHaveReachedTarget);
    exchange.lastFailure = std::move(failed.message);
    exchange.isLastTargetGone = failed.isRefused;
    noteLost(failed, exchange, now);
    if (exchange.isAnswerStarted) {
        abort(exchange);
        options_.counters.add(model::Counter::BrokenBodies);
        releaseTarget(exchange);
        return finish(exchange, {.exchange = exchange, .reason = model::Reason::TargetFailed}, now);
    }
    exchange.hasCredit = !failed.mayHaveReachedTarget;
    exchange.mayHaveRun = exchange.mayHaveRun || failed.mayHaveReachedTarget;
    tryElsewhere(
        exchange, failed.mayHaveReachedTarget ? model::Reason::TargetFailed : model::Reason::ConnectFailed, now);
}

} // namespace saltvane::gateway
