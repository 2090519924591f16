/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/ownerdispatcher.h"

#include "requests/internal/ownerheaders.h"

#include <algorithm>
#include <utility>

namespace saltvane::requests {

namespace {

bool isExcluded(const OwnerExchange& exchange, const TargetId& target)
{
    return std::ranges::find(exchange.excluded, target) != exchange.excluded.end();
}

/// Changes "not run" to unknown if an earlier attempt may have run the request.
OwnerCompletion withTrueOutcome(const OwnerExchange& exchange, OwnerCompletion completion)
{
    if (completion.outcome != model::Outcome::NotRun || !exchange.mayHaveRun)
        return completion;
    return {.outcome = model::Outcome::Unknown, .reason = model::Reason::TargetFailed};
}

} // namespace

OwnerDispatcher::OwnerDispatcher(
    const OwnerRequestsOptions& options, model::Counters& counters, OwnerTable& table, OwnerDuplicateFilter& duplicates)
    : options_(options)
    , counters_(counters)
    , table_(table)
    , duplicates_(duplicates)
    , queues_(options.queueOrder, options.maxQueuedPerSlot)
    , slots_(*options.pool)
{
}

void OwnerDispatcher::begin(OwnerExchange& exchange, Timestamp now)
{
    if (exchange.deadline <= now)
        return finish(exchange, {model::Outcome::NotRun, model::Reason::DeadlineExceeded}, now);
    const bool isQueueEmpty = queues_.size(exchange.request.service) == 0;
    if (isQueueEmpty && startAttempt(exchange, now))
        return;
    enqueue(exchange, now);
}

bool OwnerDispatcher::startAttempt(OwnerExchange& exchange, Timestamp now)
{
    const auto slot = slots_.acquire(exchange.request.service, exchange.excluded, now);
    if (slot)
        startAttempt(exchange, *slot, now);
    return slot.has_value();
}

void OwnerDispatcher::startAttempt(OwnerExchange& exchange, const steering::ITargetPool::Slot& slot, Timestamp now)
{
    const DispatchId dispatch {++lastDispatch_};
    table_.startAttempt(exchange, {.dispatch = dispatch, .slot = slot, .started = now, .lastEvent = now});
    ++exchange.attempts;
    ++exchange.tries;
    exchange.target = slot.target;
    exchange.excluded.push_back(slot.target);
    counters_.add(model::Counter::Dispatches);
    const model::ForwardRequest& request = exchange.request;
    emit(TargetStart {.dispatch = dispatch,
        .target = slot.target,
        .address = slot.address,
        .method = request.method,
        .path = request.path,
        .headers = request.headers,
        .bodyLength = request.bodyLength,
        .isRepeatable = request.isRepeatable});
    OwnerUpload& upload = exchange.upload;
    upload.startAttempt();
    const bool hasLast = upload.hasBody() && upload.isComplete();
    if (hasLast || !upload.retained().empty())
        emit(TargetRequestBody {.dispatch = dispatch, .bytes = upload.retained(), .isLast = hasLast});
    if (exchange.attempts >= options_.maxAttempts)
        upload.discardRetained();
}

void OwnerDispatcher::enqueue(OwnerExchange& exchange, Timestamp now)
{
    if (!hasTargetLeft(exchange))
        return finish(exchange, {model::Outcome::NotRun, model::Reason::NoTarget}, now);
    const ServiceName service = exchange.request.service;
    const bool isQueued = queues_.push(exchange, options_.pool->room(service).room, now);
    if (!isQueued)
        refuseQueueFull(exchange, now);
    finishDropped(now);
    if (isQueued)
        serveQueue(service, now);
}

bool OwnerDispatcher::hasTargetLeft(const OwnerExchange& exchange) const
{
    const auto excludedHere = std::ranges::count_if(
        exchange.excluded, [this](const TargetId& target) { return options_.pool->find(target).has_value(); });
    return options_.pool->room(exchange.request.service).targets > excludedHere;
}

void OwnerDispatcher::refuseQueueFull(OwnerExchange& exchange, Timestamp now)
{
    const ServiceName& service = exchange.request.service;
    const Duration wait = queues_.expectedWait(service, options_.pool->room(service).room);
    finish(exchange, {model::Outcome::NotRun, model::Reason::QueueFull, wait}, now);
}

void OwnerDispatcher::serveQueues(Timestamp now)
{
    hasFreedSlot_ = false;
    for (const ServiceName& service : queues_.waitingServices())
        serveQueue(service, now);
}

void OwnerDispatcher::serveFreedSlots(Timestamp now)
{
    if (hasFreedSlot_)
        serveQueues(now);
}

void OwnerDispatcher::serveQueue(const ServiceName& service, Timestamp now)
{
    // Acquires the slot before removing the request from the queue: a request that is queued again would lose its
    // position.
    std::vector<OwnerExchangeId> blocked;
    while (queues_.size(service) > 0) {
        auto slot = slots_.acquire(service, {}, now);
        if (!slot)
            break;
        const auto waiter = queues_.pop(service, now);
        OwnerExchange* exchange = waiter ? table_.find(*waiter) : nullptr;
        if (exchange && !isExcluded(*exchange, slot->target)) {
            startAttempt(*exchange, *slot, now);
            continue;
        }
        slots_.release(*slot, steering::DispatchResult::Cancelled, Duration {}, now);
        if (!exchange)
            break;
        if (!startAttempt(*exchange, now))
            blocked.push_back(*waiter);
    }
    for (const OwnerExchangeId id : blocked) {
        OwnerExchange& exchange = *table_.find(id);
        if (!queues_.push(exchange, options_.pool->room(service).room, now))
            refuseQueueFull(exchange, now);
    }
    finishDropped(now);
}

void OwnerDispatcher::finishDropped(Timestamp now)
{
    for (const steering::DroppedWaiter& dropped : queues_.drainDroppedWaiters()) {
        OwnerExchange* exchange = table_.find(dropped.waiter);
        if (!exchange)
            continue;
        const ServiceName& service = exchange->request.service;
        const Duration wait = queues_.expectedWait(service, options_.pool->room(service).room);
        finish(*exchange, {model::Outcome::NotRun, dropped.reason, wait}, now);
    }
}

void OwnerDispatcher::onAnswered(OwnerExchange& exchange, Timestamp now)
{
    const OwnerAttempt& attempt = *exchange.attempt;
    const Duration latency = now - attempt.started;
    slots_.release(attempt.slot, steering::DispatchResult::Answered, latency, now);
    queues_.recordServiceTime(exchange.request.service, latency);
    endAttempt(exchange);
}

void OwnerDispatcher::onShed(OwnerExchange& exchange, std::span<const model::Header> headers, Timestamp now)
{
    const OwnerAttempt& attempt = *exchange.attempt;
    emit(TargetCancel {.dispatch = attempt.dispatch});
    slots_.release(attempt.slot, steering::DispatchResult::Shed, now - attempt.started, now);
    endAttempt(exchange);
    const ServiceName& service = exchange.request.service;
    const Duration wait = queues_.expectedWait(service, options_.pool->room(service).room);
    retryOrFinish(
        exchange, {model::Outcome::NotRun, model::Reason::TargetShed, retryAfterOf(headers).value_or(wait)}, now);
}

void OwnerDispatcher::onFailed(OwnerExchange& exchange, bool mayHaveReachedTarget, Timestamp now)
{
    const OwnerAttempt& attempt = *exchange.attempt;
    const Duration latency = now - attempt.started;
    if (mayHaveReachedTarget)
        slots_.releaseAfterClose(attempt.slot, steering::DispatchResult::Failed, latency, now);
    else
        slots_.release(attempt.slot, steering::DispatchResult::Failed, latency, now);
    endAttempt(exchange);
    if (!mayHaveReachedTarget && !exchange.download) {
        --exchange.tries;
        return retryOrFinish(exchange, {model::Outcome::NotRun, model::Reason::ConnectFailed}, now);
    }
    exchange.mayHaveRun = true;
    const OwnerCompletion failed {model::Outcome::Unknown, model::Reason::TargetFailed};
    if (!exchange.request.isRepeatable || exchange.download)
        return finish(exchange, failed, now);
    retryOrFinish(exchange, failed, now);
}

void OwnerDispatcher::onWithheld(OwnerExchange& exchange, model::Reason reason, Timestamp now)
{
    const OwnerAttempt& attempt = *exchange.attempt;
    slots_.release(attempt.slot, steering::DispatchResult::Cancelled, now - attempt.started, now);
    endAttempt(exchange);
    --exchange.tries;
    counters_.addWithheld(reason);
    finish(exchange, {model::Outcome::NotRun, reason}, now);
}

void OwnerDispatcher::retryOrFinish(OwnerExchange& exchange, OwnerCompletion completion, Timestamp now)
{
    const bool mayRetry
        = exchange.attempts < options_.maxAttempts && exchange.upload.isRetained() && now < exchange.deadline;
    if (!mayRetry || !startAttempt(exchange, now))
        return finish(exchange, completion, now);
    counters_.add(model::Counter::Retries);
    counters_.addRetry(completion.reason);
}

void OwnerDispatcher::endAttempt(OwnerExchange& exchange)
{
    table_.endAttempt(exchange);
    hasFreedSlot_ = true;
}

bool OwnerDispatcher::abortAttempt(OwnerExchange& exchange, steering::DispatchResult result, Timestamp now)
{
    if (exchange.attempt) {
        const OwnerAttempt& attempt = *exchange.attempt;
        emit(TargetCancel {.dispatch = attempt.dispatch});
        slots_.releaseAfterClose(attempt.slot, result, now - attempt.started, now);
        endAttempt(exchange);
        return true;
    }
    if (exchange.download)
        return true;
    queues_.erase(exchange);
    return false;
}

void OwnerDispatcher::abortRequest(
    OwnerExchange& exchange, steering::DispatchResult result, model::Reason reason, Timestamp now)
{
    const bool wasDispatched = abortAttempt(exchange, result, now);
    finish(exchange, {wasDispatched ? model::Outcome::Unknown : model::Outcome::NotRun, reason}, now);
}

void OwnerDispatcher::dropRequest(OwnerExchange& exchange, Timestamp now)
{
    const bool wasDispatched = abortAttempt(exchange, steering::DispatchResult::Cancelled, now);
    writeAccessRecord(
        exchange, {wasDispatched ? model::Outcome::Unknown : model::Outcome::NotRun, model::Reason::PeerLost}, now);
    duplicates_.recordEnded(exchange.key);
    table_.erase(exchange);
}

void OwnerDispatcher::finish(OwnerExchange& exchange, OwnerCompletion completion, Timestamp now)
{
    completion = withTrueOutcome(exchange, completion);
    send(exchange,
        model::ForwardEnd {.correlation = exchange.key.correlation,
            .outcome = completion.outcome,
            .reason = completion.reason,
            .retryAfter = completion.retryAfter,
            .target = exchange.target,
            .tries = exchange.tries});
    writeAccessRecord(exchange, completion, now);
    duplicates_.recordEnded(exchange.key);
    table_.erase(exchange);
}

void OwnerDispatcher::writeAccessRecord(const OwnerExchange& exchange, const OwnerCompletion& completion, Timestamp now)
{
    const model::ForwardRequest& request = exchange.request;
    emit(AccessRecord {.request = request.request,
        .service = request.service,
        .method = request.method,
        .clientRegion = request.clientRegion,
        .zone = options_.self.zone,
        .owner = options_.self.host,
        .target = exchange.target,
        .tries = exchange.tries,
        .outcome = completion.outcome,
        .reason = completion.reason,
        .status = exchange.status,
        .total = now - exchange.started,
        .isOwnerSide = true});
}

void OwnerDispatcher::send(const OwnerExchange& exchange, model::Message message)
{
    emit(model::OutgoingMessage {.to = exchange.key.host, .message = std::move(message)});
}

void OwnerDispatcher::tick(Timestamp now)
{
    slots_.tick(now);
    queues_.tick(now);
    finishDropped(now);
}

void OwnerDispatcher::releaseClosingSlots(Timestamp now) { slots_.releaseAll(now); }

} // namespace saltvane::requests
