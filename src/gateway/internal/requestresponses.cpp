/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"
#include "requests/headerfilter.h"

#include <utility>

/// RequestRunner: responses and failures of targets.
namespace saltvane::gateway {

namespace {

/// Responses up to this size are buffered, so that the request can be retried if the response breaks off. For larger
/// ones, receiving and sending one after the other would use the gateway's link twice in sequence.
constexpr uint64_t MaxBufferedResponseBytes = 16 * 1024;

constexpr int StatusMisdirected = 421;
constexpr int FirstServerErrorStatus = 500;

} // namespace

void RequestRunner::accept(requests::TargetResponseHead& head, Exchange& exchange, Timestamp now)
{
    exchange.connection = head.connection;
    if (head.hasSurplus)
        options_.onSurplusBytes(exchange.target, now);
    if (exchange.isAtPeer)
        return onPeerHead(head, exchange, now);
    GatewayTarget* target = options_.targets.find(exchange.target);
    options_.onTargetAnswered(head.isNewConnection, now);
    const std::string_view id = requests::firstFieldValue(head.headers, options_.headers.requestId);
    const bool isNotRun = !requests::firstFieldValue(head.headers, options_.headers.notRun).empty();
    const bool isRefusal = isNotRun || head.status == StatusMisdirected;
    // An extra response to an earlier request carries another id or none. Without an id, a refusal counts on a
    // connection that has carried no earlier request.
    const bool isOwnRefusal = id.empty() && isRefusal && head.isNewConnection;
    if (id != exchange.id.value() && !isOwnRefusal) {
        actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
        exchange.recordPossibleRun();
        exchange.lastFailure = "answer of another request";
        if (!head.isNewConnection)
            options_.onSurplusBytes(exchange.target, now);
        return retryElsewhere(exchange, model::Reason::TargetFailed, now);
    }
    const std::string_view load = requests::firstFieldValue(head.headers, options_.headers.load);
    if (target != nullptr && !load.empty())
        target->updateLoad(load, now);
    // A response of another target says nothing about the selected one.
    if (head.status != StatusMisdirected)
        options_.backpressure.onResponse({.target = exchange.target,
                                             .status = head.status,
                                             .headers = head.headers,
                                             .isNotRun = isNotRun,
                                             .sentAt = exchange.sentAt},
            now);
    if (isRefusal)
        return onRefusedByTarget(exchange, head.status, now);
    options_.quarantine.onTargetAlive(exchange.target);
    exchange.timeToHead = now - exchange.sentAt;
    options_.latencies.add(exchange.route.kind, Stage::Target, exchange.timeToHead);
    if (target != nullptr)
        options_.placement.recordResponse(*target,
            {.route = exchange.route.name,
                .object = exchange.object,
                .duration = now - exchange.sentAt,
                .expectedDuration = exchange.expectedDuration,
                .loadAtSend = exchange.loadAtSend,
                .choice = exchange.choice,
                .isOfTrial
                = exchange.versionRole == VersionRole::Trial && options_.targets.rollouts().isInTrial(exchange.service),
                .isForCorrection = exchange.isForCorrection},
            now);
    scheduleStallCheck(exchange, now + std::max(exchange.route.objective, MinBodyTime));
    startResponse(exchange, head);
}

void RequestRunner::startResponse(Exchange& exchange, const requests::TargetResponseHead& head)
{
    clearLate(exchange);
    exchange.phase = Exchange::Phase::ReceivingResponse;
    exchange.isResponseLengthKnown = head.bodyLength.has_value();
    exchange.response = {.handle = exchange.handle,
        .status = head.status,
        .headers = requests::endToEndHeaders(head.headers),
        .bodyLength = head.bodyLength,
        .isLast = false};
    std::erase_if(exchange.response.headers, [&](const model::Header& header) {
        // To the gateway that forwarded the request, this header marks a response of this gateway's own.
        const bool isMark = exchange.isForwarded && model::isSameFieldName(header.name, requests::ReasonHeader);
        return isMark || model::isSameFieldName(header.name, ForwardedPlanHeader);
    });
    if (exchange.isForwarded)
        addForwardedPlan(exchange.response.headers, exchange);
    if (head.bodyLength.value_or(0) > MaxBufferedResponseBytes)
        startStreaming(exchange);
}

void RequestRunner::startStreaming(Exchange& exchange)
{
    checks_.erase({exchange.nextCheckAt, exchange.handle});
    if (!exchange.isAtPeer)
        scheduleCheck(exchange, overlongAt(exchange));
    exchange.phase = Exchange::Phase::Streaming;
    exchange.isResponseStarted = true;
    exchange.response.isLast = false;
    sendResponse(exchange);
    exchange.response = {};
    exchange.body.bytes = {}; // No other target gets the request any more.
}

void RequestRunner::sendResponse(Exchange& exchange)
{
    pendingResponses_[exchange.handle]
        = PendingResponse {.service = exchange.service, .route = exchange.route.name, .sentAt = exchange.sentAt};
    respond(std::move(exchange.response));
}

void RequestRunner::onRefusedByTarget(Exchange& exchange, int status, Timestamp now)
{
    actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
    exchange.hasCredit = true; // Credits are used by runs only.
    if (status == StatusMisdirected) {
        options_.targets.markStopped(exchange.target, now);
        options_.quarantine.onTargetStopped(exchange.target, now);
    } else if (GatewayTarget* target = options_.targets.find(exchange.target)) {
        target->onRefusal(now);
    }
    retryElsewhere(exchange, model::Reason::TargetShed, now);
}

void RequestRunner::accept(requests::TargetResponseBody& body, Exchange& exchange, Timestamp /*now*/)
{
    exchange.responseBytes += body.bytes.size();
    if (exchange.phase == Exchange::Phase::Streaming) {
        actions_.emplace_back(requests::HttpResponseBody {.handle = exchange.handle, .bytes = std::move(body.bytes)});
        return;
    }
    actions_.emplace_back(requests::TargetResponseWindow {.dispatch = exchange.dispatch, .bytes = body.bytes.size()});
    exchange.response.bytes += body.bytes;
    if (exchange.response.bytes.size() > MaxBufferedResponseBytes)
        startStreaming(exchange);
}

void RequestRunner::accept(requests::TargetResponseDone& /*done*/, Exchange& exchange, Timestamp now)
{
    if (GatewayTarget* target = exchange.isAtPeer ? nullptr : options_.targets.find(exchange.target))
        target->onResponseCompleted();
    bodyExtents_.record(exchange.route.name,
        {.bytes = exchange.responseBytes, .duration = now - exchange.sentAt - exchange.timeToHead});
    releaseTarget(exchange);
    options_.quarantine.onAnswered(exchange.digest, now);
    const int status = exchange.response.status;
    recordAnswer(exchange, status >= FirstServerErrorStatus ? std::nullopt : std::optional(exchange.timeToHead));
    if (exchange.phase == Exchange::Phase::Streaming) {
        actions_.emplace_back(requests::HttpResponseBody {.handle = exchange.handle, .isLast = true});
    } else {
        exchange.response.bodyLength = exchange.response.bytes.size();
        exchange.response.isLast = true;
        sendResponse(exchange);
    }
    options_.counters.add(model::Counter::RequestsAnswered);
    options_.latencies.add(exchange.route.kind, Stage::Total, now - exchange.startedAt);
    finish(exchange, {.exchange = exchange, .outcome = model::Outcome::Answered, .status = status}, now);
}

void RequestRunner::accept(requests::TargetRequestProgress& /*progress*/, Exchange& /*exchange*/, Timestamp /*now*/) { }

void RequestRunner::accept(requests::TargetFailed& failed, Exchange& exchange, Timestamp now)
{
    if (failed.hasSurplus)
        options_.onSurplusBytes(exchange.target, now);
    if (failed.withheldFor != model::Reason::None)
        return onWithheld(exchange, failed.withheldFor, now);
    exchange.connection = failed.connection;
    if (exchange.isAtPeer)
        return onPeerFailed(failed, exchange, now);
    if (GatewayTarget* target = options_.targets.find(exchange.target)) {
        target->onFailure(now, !failed.mayHaveReachedTarget);
        if (failed.isRefused)
            options_.targets.onRefused(*target, now);
        if (exchange.phase != Exchange::Phase::AwaitingHead)
            recordBrokenResponse(exchange, now);
        recordTargetFailure(*target,
            failed.mayHaveReachedTarget ? TargetReachability::Failure::Response : TargetReachability::Failure::Connect,
            exchange.sentAt, now);
    }
    exchange.lastFailure = std::move(failed.message);
    exchange.isLastTargetGone = failed.isRefused;
    onTargetLost(failed, exchange, now);
    if (exchange.isResponseStarted) {
        abort(exchange);
        options_.counters.add(model::Counter::BrokenBodies);
        releaseTarget(exchange);
        return finish(exchange, {.exchange = exchange, .reason = model::Reason::TargetFailed}, now);
    }
    exchange.hasCredit = !failed.mayHaveReachedTarget;
    if (failed.mayHaveReachedTarget)
        exchange.recordPossibleRun();
    retryElsewhere(
        exchange, failed.mayHaveReachedTarget ? model::Reason::TargetFailed : model::Reason::ConnectFailed, now);
}

} // namespace saltvane::gateway
