/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "ownerstress.h"

#include <algorithm>
#include <array>

namespace saltvane::requests {

namespace {

constexpr uint32_t MaxSlots = 3;
constexpr uint64_t MaxBodyBytes = 600 * 1024;
constexpr uint64_t MaxPieceBytes = 64 * 1024;
constexpr Duration MaxDeadline = 400ms;

} // namespace

OwnerStress::OwnerStress(uint64_t seed)
    : random_(seed)
{
    for (const TargetId& target : targets_)
        pool_.setSlots(target, MaxSlots);
    for (const HostId& host : hosts_)
        incarnations_[host] = 1;
    owner_ = makeOwnerRequests({.self = {.host = HostId("owner"), .zone = ZoneName("zone-a")},
        .pool = &pool_,
        .counters = &counters_,
        .maxQueuedPerSlot = 0.5});
}

void OwnerStress::run(int steps)
{
    for (int i = 0; i < steps; ++i)
        step();
}

void OwnerStress::step()
{
    static constexpr std::array Steps {&OwnerStress::openRequest, &OwnerStress::openRequest, &OwnerStress::sendBody,
        &OwnerStress::sendBody, &OwnerStress::sendBody, &OwnerStress::sendTargetEvent, &OwnerStress::sendTargetEvent,
        &OwnerStress::sendTargetEvent, &OwnerStress::sendTargetEvent, &OwnerStress::sendTargetEvent,
        &OwnerStress::sendTargetEvent, &OwnerStress::acknowledgeResponse, &OwnerStress::acknowledgeResponse,
        &OwnerStress::repeatFrame, &OwnerStress::sendLateEvent, &OwnerStress::advanceTime, &OwnerStress::advanceTime};
    static constexpr std::array RareSteps {
        &OwnerStress::cancelRequest, &OwnerStress::cancelRequest, &OwnerStress::changeSlots, &OwnerStress::loseHost};
    constexpr uint64_t RareOneIn = 30;
    const Step chosen = pick(RareOneIn) == 0 ? RareSteps.at(pick(RareSteps.size())) : Steps.at(pick(Steps.size()));
    (this->*chosen)();
}

void OwnerStress::openRequest()
{
    const HostId& host = hosts_.at(pick(hosts_.size()));
    const ExchangeKey key {host, {incarnations_[host]}, {++lastCorrelation_}};
    const uint64_t bodySize = pick(3) == 0 ? 1 + pick(pick(2) == 0 ? 1000 : MaxBodyBytes) : 0;
    const uint64_t number = checker_.addRequest(key, bodySize);
    CallerState caller {.request = number};
    caller.isLastSent = bodySize == 0;
    caller.frame = {.correlation = key.correlation,
        .service = ServiceName("quotes"),
        .method = "POST",
        .path = std::to_string(number),
        .bodyLength = bodySize,
        .deadline = MaxDeadline * static_cast<int64_t>(pick(100)) / 100,
        .isRepeatable = pick(2) == 0};
    if (bodySize > 0 && pick(2) == 0)
        caller.frame.bodyLength = std::nullopt;
    if (pick(5) == 0)
        caller.frame.excludedTargets = {targets_.at(pick(targets_.size()))};
    callers_.push_back(caller);
    deliver(key, caller.frame);
}

OwnerStress::CallerState* OwnerStress::pickUnfinished()
{
    constexpr size_t Tail = 24;
    if (callers_.empty())
        return nullptr;
    const size_t tail = std::min(callers_.size(), Tail);
    CallerState& caller = callers_.at(callers_.size() - 1 - pick(tail));
    const OwnerChecker::Exchange& exchange = checker_.exchanges().at(caller.request);
    return exchange.ends == 0 && !exchange.isLost ? &caller : nullptr;
}

void OwnerStress::sendBody()
{
    CallerState* caller = pickUnfinished();
    if (!caller || caller->isLastSent || caller->isBroken)
        return;
    const OwnerChecker::Exchange& exchange = checker_.exchanges().at(caller->request);
    constexpr uint64_t BrokenOneIn = 25;
    uint64_t offset = caller->sent;
    const uint64_t window = InitialBodyWindow + exchange.granted - caller->sent;
    const uint64_t size = std::min({exchange.bodySize - caller->sent, window, 1 + pick(MaxPieceBytes)});
    if (pick(BrokenOneIn) == 0) {
        caller->isBroken = true;
        ++offset;
    }
    caller->sent += size;
    caller->isLastSent = caller->sent == exchange.bodySize;
    const ExchangeKey key = exchange.key;
    deliver(key,
        model::ForwardBody {.correlation = key.correlation,
            .offset = offset,
            .bytes = bodyBytes(exchange.number, offset, size),
            .isLast = caller->isLastSent});
}

void OwnerStress::sendTargetEvent()
{
    const std::vector<uint64_t> active = checker_.activeDispatches();
    if (active.empty())
        return;
    const uint64_t id = active.at(pick(active.size()));
    OwnerChecker::Dispatch& dispatch = checker_.dispatches().at(id);
    if (dispatch.bodyAcknowledged < dispatch.bodyReceived && pick(2) == 0) {
        const uint64_t bytes = 1 + pick(dispatch.bodyReceived - dispatch.bodyAcknowledged);
        dispatch.bodyAcknowledged += bytes;
        return handleTargetEvent(TargetRequestProgress {.dispatch = {id}, .bytes = bytes});
    }
    const uint64_t percent = pick(100);
    if (percent < (dispatch.isHeadSent ? 4 : 12))
        return fail(id, dispatch);
    if (!dispatch.isHeadSent && percent < 22)
        return shed(id, dispatch);
    sendResponsePart(id, dispatch);
}

void OwnerStress::shed(uint64_t id, OwnerChecker::Dispatch& dispatch)
{
    dispatch.state = OwnerChecker::DispatchState::Shed;
    if (pick(2) == 0)
        return handleTargetEvent(TargetResponseHead {.dispatch = {id}, .status = 429});
    handleTargetEvent(TargetResponseHead {.dispatch = {id}, .status = 503, .headers = {{"Saltvane-Shed", "1"}}});
}

void OwnerStress::fail(uint64_t id, OwnerChecker::Dispatch& dispatch)
{
    const bool isUnsent = !dispatch.isHeadSent && dispatch.bodyAcknowledged == 0 && pick(2) == 0;
    dispatch.state = isUnsent ? OwnerChecker::DispatchState::NotSent : OwnerChecker::DispatchState::Failed;
    handleTargetEvent(TargetFailed {.dispatch = {id}, .mayHaveReachedTarget = !isUnsent});
}

void OwnerStress::sendResponsePart(uint64_t id, OwnerChecker::Dispatch& dispatch)
{
    if (!dispatch.isHeadSent) {
        dispatch.isHeadSent = true;
        dispatch.size = pick(2) == 0 ? pick(100) : pick(MaxBodyBytes);
        dispatch.hasLength = pick(2) == 0;
        const auto length = dispatch.hasLength ? std::optional<uint64_t>(dispatch.size) : std::nullopt;
        return handleTargetEvent(TargetResponseHead {.dispatch = {id}, .status = 200, .bodyLength = length});
    }
    constexpr uint64_t WrongLengthOneIn = 40;
    if (dispatch.hasLength && pick(WrongLengthOneIn) == 0)
        return sendWrongLength(id, dispatch);
    if (dispatch.sentBytes < dispatch.size) {
        const uint64_t size = std::min(
            {dispatch.size - dispatch.sentBytes, dispatch.window - dispatch.sentBytes, 1 + pick(2 * MaxPieceBytes)});
        if (size == 0)
            return;
        std::string bytes = bodyBytes(id, dispatch.sentBytes, size);
        dispatch.sentBytes += size;
        return handleTargetEvent(TargetResponseBody {.dispatch = {id}, .bytes = std::move(bytes)});
    }
    dispatch.state = OwnerChecker::DispatchState::Answered;
    handleTargetEvent(TargetResponseDone {.dispatch = {id}});
}

void OwnerStress::sendWrongLength(uint64_t id, OwnerChecker::Dispatch& dispatch)
{
    if (dispatch.sentBytes < dispatch.size) {
        dispatch.state = OwnerChecker::DispatchState::Failed;
        return handleTargetEvent(TargetResponseDone {.dispatch = {id}});
    }
    if (dispatch.window == dispatch.sentBytes)
        return;
    handleTargetEvent(TargetResponseBody {.dispatch = {id}, .bytes = "x"});
    if (checker_.dispatches().at(id).state == OwnerChecker::DispatchState::Active)
        checker_.report("dispatch continues after a response longer than announced");
}

void OwnerStress::acknowledgeResponse()
{
    CallerState* caller = pickUnfinished();
    if (!caller)
        return;
    OwnerChecker::Exchange& exchange = checker_.exchanges().at(caller->request);
    const uint64_t bytes = exchange.received - exchange.acknowledged;
    if (bytes == 0)
        return;
    exchange.acknowledged += bytes;
    const ExchangeKey key = exchange.key;
    deliver(key,
        model::ForwardWindow {.correlation = key.correlation, .direction = model::Direction::ToClient, .bytes = bytes});
}

void OwnerStress::cancelRequest()
{
    if (const CallerState* caller = pickUnfinished()) {
        const ExchangeKey key = checker_.exchanges().at(caller->request).key;
        deliver(key, model::ForwardCancel {.correlation = key.correlation});
    }
}

void OwnerStress::repeatFrame()
{
    if (callers_.empty())
        return;
    // Repeats the frame of any request: in progress, ended, or of an earlier incarnation of its host.
    const CallerState& caller = callers_.at(pick(callers_.size()));
    deliver(checker_.exchanges().at(caller.request).key, caller.frame);
}

void OwnerStress::sendLateEvent()
{
    if (checker_.dispatches().empty())
        return;
    const uint64_t id = 1 + pick(checker_.dispatches().size());
    if (checker_.dispatches().at(id).state == OwnerChecker::DispatchState::Active)
        return;
    if (pick(2) == 0)
        return handleTargetEvent(TargetResponseBody {.dispatch = {id}, .bytes = "late"});
    handleTargetEvent(TargetResponseDone {.dispatch = {id}});
}

void OwnerStress::loseHost()
{
    const HostId& host = hosts_.at(pick(hosts_.size()));
    checker_.onHostLost(host);
    ++incarnations_[host];
    if (pick(2) == 0)
        owner_->onHostLost(host, now_);
    else
        owner_->handle(model::Delivery {.from = host,
                           .fromIncarnation = {incarnations_[host]},
                           .message = model::ForwardCancel {.correlation = {++lastCorrelation_}}},
            now_);
    collect();
}

void OwnerStress::changeSlots()
{
    pool_.setSlots(targets_.at(pick(targets_.size())), static_cast<uint32_t>(pick(MaxSlots + 1)));
    owner_->serveQueues(now_);
    collect();
}

void OwnerStress::advanceTime()
{
    now_ += std::chrono::microseconds(pick(20'000));
    owner_->tick(now_);
    collect();
}

void OwnerStress::deliver(const ExchangeKey& key, model::Message message)
{
    owner_->handle(
        model::Delivery {.from = key.host, .fromIncarnation = key.incarnation, .message = std::move(message)}, now_);
    collect();
}

void OwnerStress::handleTargetEvent(TargetEvent event)
{
    owner_->handle(std::move(event), now_);
    collect();
}

void OwnerStress::collect()
{
    checker_.check(owner_->drainActions());
    for (const TargetId& target : targets_) {
        if (checker_.activeOn(target) > pool_.inFlight(target.value()))
            checker_.report("more active dispatches on " + target.value() + " than acquired slots");
    }
    const auto active = static_cast<uint32_t>(checker_.activeDispatches().size());
    if (owner_->inFlight() + active != checker_.unfinishedRequests() + pool_.inFlight())
        checker_.report("wrong number of requests in flight");
}

void OwnerStress::finish()
{
    for (int i = 0; i < 100; ++i) {
        now_ += MaxDeadline / 10;
        owner_->tick(now_);
        collect();
    }
    checker_.checkFinished();
    if (pool_.inFlight() != 0)
        checker_.report("slots not released");
    for (const std::string& misuse : pool_.misuses())
        checker_.report(misuse);
}

} // namespace saltvane::requests
