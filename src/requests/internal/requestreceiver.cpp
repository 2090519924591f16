/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/requestreceiver.h"

#include "requests/headerfilter.h"
#include "requests/internal/finalizer.h"
#include "requests/internal/forwarder.h"
#include "requests/internal/keyedrequests.h"
#include "requests/internal/requestparser.h"
#include "requests/internal/responserelay.h"

#include <charconv>

namespace saltvane::requests {
namespace {

std::string toHex(uint64_t number)
{
    std::array<char, 16> digits {};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
    return {digits.data(), result.ptr};
}

} // namespace

void RequestReceiver::handle(HttpRequestStarted started, Timestamp now)
{
    const ParsedRequest parsed
        = context_.deployment ? parseRequest(*context_.deployment, started) : parseWithoutDeployment(started);
    Exchange exchange;
    exchange.origin = HttpOrigin {.handle = started.handle};
    exchange.request = nextRequestId();
    exchange.service = parsed.service;
    exchange.clientRegion = parsed.clientRegion;
    exchange.headers = forwardableHeaders(started.headers);
    exchange.headers.push_back({.name = std::string(RequestIdHeader), .value = exchange.request.value()});
    exchange.method = std::move(started.method);
    exchange.path = std::move(started.path);
    exchange.body = RequestBody(started.bodyLength);
    exchange.arrival = now;
    exchange.deadline = now + parsed.deadline;
    exchange.isRepeatable = parsed.isRepeatable;
    exchange.idempotencyKey = parsed.idempotencyKey;

    const model::Reason refusal = admissionRefusal();
    Exchange& added = context_.table.add(std::move(exchange));
    context_.counters->add(model::Counter::Requests);
    if (parsed.refusal != model::Reason::None && parsed.refusal != model::Reason::NotReady)
        return context_.finalizer->refuse(
            added, {.outcome = model::Outcome::NotRun, .reason = parsed.refusal, .field = parsed.field}, now);
    if (added.isKeyed())
        return context_.keyed->begin(added, refusal, now);
    if (refusal != model::Reason::None)
        return context_.finalizer->giveUp(added, refusal, DefaultRetryAfter, now);
    context_.forwarder->start(added, now);
}

void RequestReceiver::handle(const HttpRequestBody& body, Timestamp now)
{
    if (Exchange* exchange = context_.table.find(body.handle))
        acceptBody(*exchange, body.bytes, body.isLast, now);
}

void RequestReceiver::handle(const HttpRequestAborted& aborted, Timestamp now)
{
    if (Exchange* exchange = context_.table.find(aborted.handle))
        context_.finalizer->finishForDisconnectedCaller(*exchange, model::Reason::ClientGone, now);
}

void RequestReceiver::handle(const HttpResponseProgress& progress, Timestamp)
{
    if (Exchange* exchange = context_.table.find(progress.handle))
        context_.responses->onCallerProgress(*exchange, progress.bytes);
}

void RequestReceiver::handle(const HttpResponseDone& done, Timestamp)
{
    Exchange* exchange = context_.table.find(done.handle);
    if (!exchange)
        return;
    if (exchange->phase == Phase::Finalized)
        context_.table.remove(*exchange);
    else
        exchange->isResponseDelivered = true;
}

void RequestReceiver::handle(const model::Delivery& delivery, const model::ForwardRequest& request, Timestamp now)
{
    if (!isNew(delivery, request.correlation))
        return context_.counters->add(model::Counter::StaleMessages);
    context_.counters->add(model::Counter::ForwardsReceived);
    Exchange exchange;
    exchange.origin = ForwardedOrigin {
        .host = delivery.from, .incarnation = delivery.fromIncarnation, .correlation = request.correlation};
    exchange.request = request.request;
    exchange.service = request.service;
    exchange.clientRegion = request.clientRegion;
    exchange.headers = request.headers;
    exchange.method = request.method;
    exchange.path = request.path;
    exchange.body = RequestBody(request.bodyLength);
    exchange.arrival = now;
    exchange.deadline = now + request.deadline;
    exchange.idempotencyKey = request.idempotencyKey;

    const model::Reason refusal = admissionRefusal();
    Exchange& added = context_.table.add(std::move(exchange));
    if (!added.isKeyed())
        return context_.finalizer->refuse(
            added, {.outcome = model::Outcome::NotRun, .reason = model::Reason::MissingKey}, now);
    context_.keyed->begin(added, refusal, now);
}

void RequestReceiver::handle(const model::Delivery& delivery, const model::ForwardBody& body, Timestamp now)
{
    Exchange* exchange = match(delivery, body.correlation);
    if (!exchange)
        return;
    if (body.offset != exchange->body.received())
        return refuseBody(*exchange, now);
    acceptBody(*exchange, body.bytes, body.isLast, now);
}

void RequestReceiver::handle(const model::Delivery& delivery, const model::ForwardWindow& window, Timestamp)
{
    if (Exchange* exchange = match(delivery, window.correlation))
        context_.responses->onCallerProgress(*exchange, window.bytes);
}

void RequestReceiver::handle(const model::Delivery& delivery, const model::ForwardCancel& cancel, Timestamp now)
{
    if (Exchange* exchange = match(delivery, cancel.correlation))
        context_.finalizer->finishForDisconnectedCaller(*exchange, cancel.reason, now);
}

RequestId RequestReceiver::nextRequestId()
{
    const membership::HostIdentity& self = context_.options.self;
    return RequestId(self.host.value() + "-" + toHex(self.incarnation.value) + "-" + toHex(++lastRequest_));
}

model::Reason RequestReceiver::admissionRefusal() const
{
    if (!context_.isReady || !context_.deployment)
        return model::Reason::NotReady;
    if (context_.isStopping)
        return model::Reason::Stopping;
    if (context_.table.size() >= context_.options.maxInFlight)
        return model::Reason::NoRoom;
    return model::Reason::None;
}

/// A duplicate or delayed frame must not start a request again, because its sender may have been told that the request
/// did not run.
bool RequestReceiver::isNew(const model::Delivery& delivery, CorrelationId correlation)
{
    Sender& sender = senders_[delivery.from];
    if (delivery.fromIncarnation < sender.incarnation)
        return false;
    if (delivery.fromIncarnation > sender.incarnation)
        sender = {.incarnation = delivery.fromIncarnation, .lastCorrelation = {}};
    if (correlation <= sender.lastCorrelation)
        return false;
    sender.lastCorrelation = correlation;
    return true;
}

/// Returns null for frames of unknown requests. They belong to the owner side, which counts late frames.
Exchange* RequestReceiver::match(const model::Delivery& delivery, CorrelationId correlation)
{
    Exchange* exchange = context_.table.find(delivery.from, correlation);
    if (!exchange)
        return nullptr;
    const auto& forwarded = std::get<ForwardedOrigin>(exchange->origin);
    return forwarded.incarnation == delivery.fromIncarnation ? exchange : nullptr;
}

void RequestReceiver::acceptBody(Exchange& exchange, std::string_view bytes, bool isLast, Timestamp now)
{
    if (exchange.phase == Phase::Finalized)
        return;
    if (!exchange.body.append(bytes, isLast))
        return refuseBody(exchange, now);
    context_.keyed->onBodyReceived(exchange, now);
    context_.forwarder->pumpBody(exchange);
}

void RequestReceiver::refuseBody(Exchange& exchange, Timestamp now)
{
    if (exchange.attempt)
        context_.forwarder->cancel(exchange, model::Reason::BadRequest, now);
    context_.finalizer->giveUp(exchange, model::Reason::BadRequest, Duration::zero(), now);
}

} // namespace saltvane::requests
