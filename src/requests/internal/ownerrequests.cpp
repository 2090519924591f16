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

/// A target that owes bytes and was silent for so long when the deadline passes has stalled; else it was just slow.
constexpr Duration StallTime = 1s;
constexpr int SmallestFinalStatus = 200;

/// Frames of entry hosts; bodies and windows of the other direction belong to the entry side.
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

/// Whether the exchange waits for the target, not for the entry host.
bool isTargetOwing(const OwnerExchange& exchange)
{
    if (exchange.download)
        return !exchange.download->isBlocked();
    return !exchange.upload.isWaitingForMore();
}

} // namespace

OwnerRequests::OwnerRequests(const OwnerRequestsOptions& options)
    : options_(options)
    , counters_(options.counters ? *options.counters : ownCounters_)
    , dispatcher_(options_, counters_, table_, peers_)
{
}

void OwnerRequests::handle(const model::Delivery& delivery, Timestamp now)
{
    std::visit(
        [&](const auto& frame) {
            if constexpr (requires(const ExchangeKey& key) { onFrame(key, frame, now); }) {
                if (!isForOwner(frame) || !isFresh(delivery, now))
                    return;
                onFrame({delivery.from, delivery.fromIncarnation, frame.correlation}, frame, now);
            }
        },
        delivery.message);
    dispatcher_.serveFreedSlots(now);
}

bool OwnerRequests::isFresh(const model::Delivery& delivery, Timestamp now)
{
    const OwnerPeers::Freshness freshness = peers_.note(delivery.from, delivery.fromIncarnation);
    if (freshness == OwnerPeers::Freshness::Stale) {
        counters_.add(model::Counter::StaleMessages);
        return false;
    }
    if (freshness == OwnerPeers::Freshness::Current)
        return true;
    for (const OwnerExchangeId id : table_.ofHost(delivery.from, delivery.fromIncarnation))
        dispatcher_.drop(*table_.find(id), now);
    return true;
}

void OwnerRequests::onFrame(const ExchangeKey& key, const model::ForwardRequest& request, Timestamp now)
{
    if (table_.find(key) || peers_.hasEnded(key)) {
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
    const bool isAnswerIn = exchange->download && !exchange->attempt;
    if (isAnswerIn)
        return;
    if (exchange->upload.append(body) != OwnerUpload::Check::Good)
        return breakBody(*exchange, steering::DispatchResult::Cancelled, model::Reason::BadRequest, now);
    if (exchange->attempt)
        dispatcher_.act(
            TargetRequestBody {.dispatch = exchange->attempt->dispatch, .bytes = body.bytes, .isLast = body.isLast});
}

void OwnerRequests::onFrame(const ExchangeKey& key, const model::ForwardWindow& window, Timestamp now)
{
    OwnerExchange* exchange = table_.find(key);
    if (!exchange) {
        counters_.add(model::Counter::LateFrames);
        return;
    }
    if (!exchange->download || !exchange->download->noteTaken(window.bytes))
        return breakBody(*exchange, steering::DispatchResult::Cancelled, model::Reason::BadRequest, now);
    if (exchange->attempt)
        dispatcher_.act(TargetResponseWindow {.dispatch = exchange->attempt->dispatch, .bytes = window.bytes});
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
    dispatcher_.breakOff(*exchange, steering::DispatchResult::Cancelled, reason, now);
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
    if (exchange.download || head.status < SmallestFinalStatus)
        return;
    exchange.status = head.status;
    if (isShedAnswer(head.status, head.headers))
        return dispatcher_.noteShed(exchange, head.headers, now);
    exchange.upload.dropKept();
    const bool isBodyless = isBodylessAnswer(exchange.request.method, head.status);
    exchange.download.emplace(isBodyless ? 0 : head.bodyLength);
    dispatcher_.send(exchange,
        model::ForwardResponseHead {.correlation = exchange.key.correlation,
            .status = head.status,
            .headers = answerHeaders(head.headers),
            .bodyLength = head.bodyLength,
            .target = exchange.target});
}

void OwnerRequests::onEvent(OwnerExchange& exchange, TargetResponseBody& body, Timestamp now)
{
    if (!exchange.download || !exchange.download->append(std::move(body.bytes)))
        return breakBody(exchange, steering::DispatchResult::Failed, model::Reason::TargetFailed, now);
    pump(exchange, now);
}

void OwnerRequests::onEvent(OwnerExchange& exchange, TargetResponseDone& /*done*/, Timestamp now)
{
    if (!exchange.download || !exchange.download->finish()) {
        counters_.add(model::Counter::BrokenBodies);
        return dispatcher_.noteFailed(exchange, true, now);
    }
    dispatcher_.noteAnswered(exchange, now);
    pump(exchange, now);
}

void OwnerRequests::onEvent(OwnerExchange& exchange, TargetRequestProgress& progress, Timestamp /*now*/)
{
    const uint64_t growth = exchange.upload.noteTaken(progress.bytes);
    if (growth == 0)
        return;
    dispatcher_.send(exchange,
        model::ForwardWindow {
            .correlation = exchange.key.correlation, .direction = model::Direction::ToTarget, .bytes = growth});
}

void OwnerRequests::onEvent(OwnerExchange& exchange, TargetFailed& failure, Timestamp now)
{
    dispatcher_.noteFailed(exchange, failure.mayHaveReachedTarget, now);
}

void OwnerRequests::pump(OwnerExchange& exchange, Timestamp now)
{
    while (auto frame = exchange.download->nextFrame(exchange.key.correlation))
        dispatcher_.send(exchange, std::move(*frame));
    if (exchange.download->isOut())
        dispatcher_.finish(exchange, {.outcome = model::Outcome::Answered}, now);
}

void OwnerRequests::breakBody(
    OwnerExchange& exchange, steering::DispatchResult result, model::Reason reason, Timestamp now)
{
    counters_.add(model::Counter::BrokenBodies);
    dispatcher_.breakOff(exchange, result, reason, now);
}

void OwnerRequests::expire(OwnerExchange& exchange, Timestamp now)
{
    using steering::DispatchResult;
    if (!exchange.attempt) {
        const auto reason = exchange.download ? model::Reason::DeadlineExceeded : model::Reason::QueueTimeout;
        return dispatcher_.breakOff(exchange, DispatchResult::Cancelled, reason, now);
    }
    if (!isTargetOwing(exchange))
        return dispatcher_.breakOff(exchange, DispatchResult::Cancelled, model::Reason::DeadlineExceeded, now);
    const bool isStalled
        = now - exchange.attempt->lastEvent >= StallTime || exchange.attempt->lastEvent == exchange.attempt->started;
    const auto result = isStalled || !exchange.download ? DispatchResult::Failed : DispatchResult::Cancelled;
    const auto reason = isStalled ? model::Reason::TargetStalled : model::Reason::DeadlineExceeded;
    dispatcher_.breakOff(exchange, result, reason, now);
}

void OwnerRequests::noteHostLost(const HostId& host, Timestamp now)
{
    for (const OwnerExchangeId id : table_.ofHost(host, std::nullopt))
        dispatcher_.drop(*table_.find(id), now);
    dispatcher_.serveFreedSlots(now);
}

void OwnerRequests::serveQueues(Timestamp now) { dispatcher_.serveQueues(now); }

uint32_t OwnerRequests::inFlight() const { return static_cast<uint32_t>(table_.size()) + dispatcher_.closingSlots(); }

uint32_t OwnerRequests::queued(const ServiceName& service) const
{
    return static_cast<uint32_t>(dispatcher_.queues().size(service));
}

Duration OwnerRequests::queueDelay(const ServiceName& service, Timestamp now) const
{
    return dispatcher_.queues().oldestWait(service, now);
}

uint32_t OwnerRequests::cutAll(Timestamp now)
{
    uint32_t cut = 0;
    for (const OwnerExchangeId id : table_.all()) {
        OwnerExchange& exchange = *table_.find(id);
        const bool wasDispatched = exchange.attempt || exchange.download;
        cut += wasDispatched ? 1 : 0;
        dispatcher_.breakOff(exchange, steering::DispatchResult::Cancelled,
            wasDispatched ? model::Reason::StopTimeLimit : model::Reason::Stopping, now);
    }
    dispatcher_.releaseClosedSlots(now);
    return cut;
}

void OwnerRequests::tick(Timestamp now)
{
    dispatcher_.tick(now);
    while (OwnerExchange* exchange = table_.findExpired(now))
        expire(*exchange, now);
    dispatcher_.serveQueues(now);
}

} // namespace saltvane::requests
