/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/ownerrequests.h"
#include "requests/headerfilter.h"

#include "requests/internal/ownerheaders.h"

#include <type_traits>
#include <utility>
#include <variant>

namespace saltvane::requests {

namespace {

/// A target without any event for this time at the deadline counts as stalled; otherwise it is only slow.
constexpr Duration TargetStallTimeout = 1s;
constexpr int MinFinalStatus = 200;

/// True for frames sent to an owner. Body and window frames of the other direction belong to the entry side.
template <typename Frame> bool isForOwner(const Frame& frame)
{
    if constexpr (std::is_same_v<Frame, model::ForwardRequest>)
        return frame.purpose == model::ForwardPurpose::Dispatch;
    else if constexpr (std::is_same_v<Frame, model::ForwardBody>)
        return frame.direction == model::Direction::ToTarget;
    else if constexpr (std::is_same_v<Frame, model::ForwardWindow>)
        return frame.direction == model::Direction::ToClient;
    else
        return std::is_same_v<Frame, model::ForwardCancel>;
}

/// True if the exchange waits for the target, false if it waits for the entry host.
bool isWaitingForTarget(const OwnerExchange& exchange)
{
    if (exchange.download)
        return !exchange.download->isWindowClosed();
    return !exchange.upload.isWaitingForMore();
}

} // namespace

OwnerRequests::OwnerRequests(const OwnerRequestsOptions& options)
    : options_(options)
    , counters_(options.counters ? *options.counters : ownCounters_)
    , dispatcher_(options_, counters_, table_, duplicates_)
{
}

void OwnerRequests::handle(const model::Delivery& delivery, Timestamp now)
{
    std::visit(
        [&](const auto& frame) {
            if constexpr (requires(const ExchangeKey& key) { onFrame(key, frame, now); }) {
                if (!isForOwner(frame) || !acceptSender(delivery, now))
                    return;
                onFrame({delivery.from, delivery.fromIncarnation, frame.correlation}, frame, now);
            }
        },
        delivery.message);
    dispatcher_.serveFreedSlots(now);
}

bool OwnerRequests::acceptSender(const model::Delivery& delivery, Timestamp now)
{
    const OwnerDuplicateFilter::Freshness freshness
        = duplicates_.checkIncarnation(delivery.from, delivery.fromIncarnation);
    if (freshness == OwnerDuplicateFilter::Freshness::Stale) {
        counters_.add(model::Counter::StaleMessages);
        return false;
    }
    if (freshness == OwnerDuplicateFilter::Freshness::Current)
        return true;
    for (const OwnerExchangeId id : table_.idsOfHost(delivery.from, delivery.fromIncarnation))
        dispatcher_.dropRequest(*table_.find(id), now);
    return true;
}

void OwnerRequests::onFrame(const ExchangeKey& key, const model::ForwardRequest& request, Timestamp now)
{
    if (table_.find(key) || duplicates_.hasEnded(key)) {
        counters_.add(model::Counter::LateFrames);
        return;
    }
    counters_.add(model::Counter::ForwardsReceived);
    dispatcher_.begin(table_.add(key, request, now), now);
}

void OwnerRequests::onFrame(const ExchangeKey& key, const model::ForwardBody& body, Timestamp now)
{
    OwnerExchange* exchange = table_.find(key);
    if (!exchange) {
        counters_.add(model::Counter::LateFrames);
        return;
    }
    const bool isResponseReceived = exchange->download && !exchange->attempt;
    if (isResponseReceived)
        return;
    if (exchange->upload.append(body) != OwnerUpload::AppendResult::Ok)
        return abortBrokenBody(*exchange, steering::DispatchResult::Cancelled, model::Reason::BadRequest, now);
    if (exchange->attempt)
        dispatcher_.emit(
            TargetRequestBody {.dispatch = exchange->attempt->dispatch, .bytes = body.bytes, .isLast = body.isLast});
}

void OwnerRequests::onFrame(const ExchangeKey& key, const model::ForwardWindow& window, Timestamp now)
{
    OwnerExchange* exchange = table_.find(key);
    if (!exchange) {
        counters_.add(model::Counter::LateFrames);
        return;
    }
    if (!exchange->download || !exchange->download->acknowledge(window.bytes))
        return abortBrokenBody(*exchange, steering::DispatchResult::Cancelled, model::Reason::BadRequest, now);
    if (exchange->attempt)
        dispatcher_.emit(TargetResponseWindow {.dispatch = exchange->attempt->dispatch, .bytes = window.bytes});
    pump(*exchange, now);
}

void OwnerRequests::onFrame(const ExchangeKey& key, const model::ForwardCancel& cancel, Timestamp now)
{
    OwnerExchange* exchange = table_.find(key);
    if (!exchange) {
        counters_.add(model::Counter::LateFrames);
        return;
    }
    const model::Reason reason = cancel.reason == model::Reason::None ? model::Reason::ClientGone : cancel.reason;
    dispatcher_.abortRequest(*exchange, steering::DispatchResult::Cancelled, reason, now);
}

void OwnerRequests::handle(TargetEvent event, Timestamp now)
{
    std::visit(
        [&](auto& content) {
            OwnerExchange* exchange = table_.find(content.dispatch);
            if (!exchange)
                return;
            exchange->attempt->lastEvent = now;
            onEvent(*exchange, content, now);
        },
        event);
    dispatcher_.serveFreedSlots(now);
}

void OwnerRequests::onEvent(OwnerExchange& exchange, TargetResponseHead& head, Timestamp now)
{
    if (exchange.download || head.status < MinFinalStatus)
        return;
    exchange.status = head.status;
    if (isShedAnswer(head.status, head.headers))
        return dispatcher_.onShed(exchange, head.headers, now);
    exchange.upload.discardRetained();
    const bool isBodyless = isBodylessAnswer(exchange.request.method, head.status);
    exchange.download.emplace(isBodyless ? 0 : head.bodyLength);
    dispatcher_.send(exchange,
        model::ForwardResponseHead {.correlation = exchange.key.correlation,
            .status = head.status,
            .headers = responseHeaders(head.headers),
            .bodyLength = head.bodyLength,
            .target = exchange.target});
}

void OwnerRequests::onEvent(OwnerExchange& exchange, TargetResponseBody& body, Timestamp now)
{
    if (!exchange.download || !exchange.download->append(std::move(body.bytes)))
        return abortBrokenBody(exchange, steering::DispatchResult::Failed, model::Reason::TargetFailed, now);
    pump(exchange, now);
}

void OwnerRequests::onEvent(OwnerExchange& exchange, TargetResponseDone& /*done*/, Timestamp now)
{
    if (!exchange.download || !exchange.download->finish()) {
        counters_.add(model::Counter::BrokenBodies);
        return dispatcher_.onFailed(exchange, true, now);
    }
    dispatcher_.onAnswered(exchange, now);
    pump(exchange, now);
}

void OwnerRequests::onEvent(OwnerExchange& exchange, TargetRequestProgress& progress, Timestamp /*now*/)
{
    const uint64_t growth = exchange.upload.acknowledge(progress.bytes);
    if (growth == 0)
        return;
    dispatcher_.send(exchange,
        model::ForwardWindow {
            .correlation = exchange.key.correlation, .direction = model::Direction::ToTarget, .bytes = growth});
}

void OwnerRequests::onEvent(OwnerExchange& exchange, TargetFailed& failure, Timestamp now)
{
    if (failure.withheldFor != model::Reason::None)
        return dispatcher_.onWithheld(exchange, failure.withheldFor, now);
    dispatcher_.onFailed(exchange, failure.mayHaveReachedTarget, now);
}

model::Reason OwnerRequests::recheck(DispatchId dispatch, Timestamp now)
{
    const OwnerExchange* exchange = table_.find(dispatch);
    if (exchange == nullptr)
        return model::Reason::ClientGone;
    return exchange->deadline <= now ? model::Reason::DeadlineExceeded : model::Reason::None;
}

void OwnerRequests::pump(OwnerExchange& exchange, Timestamp now)
{
    while (auto frame = exchange.download->nextFrame(exchange.key.correlation))
        dispatcher_.send(exchange, std::move(*frame));
    if (exchange.download->isFullySent())
        dispatcher_.finish(exchange, {.outcome = model::Outcome::Answered}, now);
}

void OwnerRequests::abortBrokenBody(
    OwnerExchange& exchange, steering::DispatchResult result, model::Reason reason, Timestamp now)
{
    counters_.add(model::Counter::BrokenBodies);
    dispatcher_.abortRequest(exchange, result, reason, now);
}

void OwnerRequests::expire(OwnerExchange& exchange, Timestamp now)
{
    using steering::DispatchResult;
    if (!exchange.attempt) {
        const auto reason = exchange.download ? model::Reason::DeadlineExceeded : model::Reason::QueueTimeout;
        return dispatcher_.abortRequest(exchange, DispatchResult::Cancelled, reason, now);
    }
    if (!isWaitingForTarget(exchange))
        return dispatcher_.abortRequest(exchange, DispatchResult::Cancelled, model::Reason::DeadlineExceeded, now);
    const bool isStalled = now - exchange.attempt->lastEvent >= TargetStallTimeout
        || exchange.attempt->lastEvent == exchange.attempt->started;
    const auto result = isStalled || !exchange.download ? DispatchResult::Failed : DispatchResult::Cancelled;
    const auto reason = isStalled ? model::Reason::TargetStalled : model::Reason::DeadlineExceeded;
    dispatcher_.abortRequest(exchange, result, reason, now);
}

void OwnerRequests::onHostLost(const HostId& host, Timestamp now)
{
    for (const OwnerExchangeId id : table_.idsOfHost(host, std::nullopt))
        dispatcher_.dropRequest(*table_.find(id), now);
    dispatcher_.serveFreedSlots(now);
}

void OwnerRequests::serveQueues(Timestamp now) { dispatcher_.serveQueues(now); }

uint32_t OwnerRequests::inFlight() const
{
    return static_cast<uint32_t>(table_.size()) + dispatcher_.closingSlotCount();
}

uint32_t OwnerRequests::queued(const ServiceName& service) const
{
    return static_cast<uint32_t>(dispatcher_.queues().size(service));
}

Duration OwnerRequests::queueDelay(const ServiceName& service, Timestamp now) const
{
    return dispatcher_.queues().oldestWait(service, now);
}

uint32_t OwnerRequests::terminateAll(Timestamp now)
{
    uint32_t terminated = 0;
    for (const OwnerExchangeId id : table_.ids()) {
        OwnerExchange& exchange = *table_.find(id);
        const bool wasDispatched = exchange.attempt || exchange.download;
        terminated += wasDispatched ? 1 : 0;
        dispatcher_.abortRequest(exchange, steering::DispatchResult::Cancelled,
            wasDispatched ? model::Reason::StopTimeLimit : model::Reason::Stopping, now);
    }
    dispatcher_.releaseClosingSlots(now);
    return terminated;
}

void OwnerRequests::tick(Timestamp now)
{
    dispatcher_.tick(now);
    while (OwnerExchange* exchange = table_.findExpired(now))
        expire(*exchange, now);
    dispatcher_.serveQueues(now);
}

} // namespace saltvane::requests
