/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "ownerchecker.h"

#include <algorithm>

namespace saltvane::requests {

using model::Outcome;

char bodyByteAt(uint64_t number, uint64_t offset)
{
    return static_cast<char>((number * 131 + offset * 7 + offset / 251) & 0xff);
}

std::string bodyBytes(uint64_t number, uint64_t offset, size_t count)
{
    std::string bytes(count, '\0');
    for (size_t i = 0; i < count; ++i)
        bytes[i] = bodyByteAt(number, offset + i);
    return bytes;
}

uint64_t OwnerChecker::addRequest(const ExchangeKey& key, uint64_t bodySize)
{
    const uint64_t number = exchanges_.size() + 1;
    exchanges_[number] = {.key = key, .number = number, .bodySize = bodySize};
    return number;
}

void OwnerChecker::check(const std::vector<Action>& actions)
{
    for (const Action& action : actions)
        std::visit([this](const auto& content) { onAction(content); }, action);
}

void OwnerChecker::checkFinished()
{
    for (const auto& [number, exchange] : exchanges_) {
        if (exchange.ends == 0 && !exchange.isLost)
            report("request " + std::to_string(number) + " has no end");
    }
    for (const uint64_t dispatch : activeDispatches())
        report("dispatch " + std::to_string(dispatch) + " is still active");
    if (records_ != exchanges_.size())
        report("number of access records differs from number of requests");
}

void OwnerChecker::onHostLost(const HostId& host)
{
    for (auto& [number, exchange] : exchanges_) {
        if (exchange.key.host == host && exchange.ends == 0)
            exchange.isLost = true;
    }
}

std::vector<uint64_t> OwnerChecker::activeDispatches() const
{
    std::vector<uint64_t> active;
    for (const auto& [id, dispatch] : dispatches_) {
        if (dispatch.state == DispatchState::Active)
            active.push_back(id);
    }
    return active;
}

uint32_t OwnerChecker::unfinishedRequests() const
{
    return static_cast<uint32_t>(std::ranges::count_if(
        exchanges_, [](const auto& entry) { return entry.second.ends == 0 && !entry.second.isLost; }));
}

uint32_t OwnerChecker::activeOn(const TargetId& target) const
{
    return static_cast<uint32_t>(std::ranges::count_if(dispatches_, [&target](const auto& entry) {
        return entry.second.state == DispatchState::Active && entry.second.target == target;
    }));
}

OwnerChecker::Dispatch* OwnerChecker::findActive(DispatchId dispatch, std::string_view eventName)
{
    const auto found = dispatches_.find(dispatch.value);
    if (found != dispatches_.end() && found->second.state == DispatchState::Active)
        return &found->second;
    report(std::string(eventName) + " for a finished dispatch");
    return nullptr;
}

void OwnerChecker::onAction(const TargetStart& start)
{
    const uint64_t number = std::stoull(start.path);
    Exchange& exchange = exchanges_.at(number);
    if (exchange.ends > 0)
        report("dispatch of a request that has ended");
    for (const uint64_t earlier : exchange.dispatches) {
        if (dispatches_.at(earlier).state == DispatchState::Active)
            report("two dispatches of one request at a time");
        if (dispatches_.at(earlier).target == start.target)
            report("two dispatches of one request to the same target");
        const DispatchState state = dispatches_.at(earlier).state;
        if (state != DispatchState::NotSent && state != DispatchState::Shed && !start.isRepeatable)
            report("a non-repeatable request was run again");
    }
    if (exchange.isHeadSeen)
        report("dispatch after the start of a response");
    exchange.dispatches.push_back(start.dispatch.value);
    dispatches_[start.dispatch.value]
        = {.exchange = number, .target = start.target, .isBodyComplete = start.bodyLength == 0};
}

void OwnerChecker::onAction(const TargetRequestBody& body)
{
    Dispatch* dispatch = findActive(body.dispatch, "request body");
    if (!dispatch)
        return;
    const Exchange& exchange = exchanges_.at(dispatch->exchange);
    if (dispatch->isBodyComplete)
        report("request body after its end");
    if (body.bytes != bodyBytes(exchange.number, dispatch->bodyReceived, body.bytes.size()))
        report("request body has wrong bytes");
    dispatch->bodyReceived += body.bytes.size();
    dispatch->isBodyComplete = body.isLast;
    if (body.isLast && dispatch->bodyReceived != exchange.bodySize)
        report("request body incomplete");
}

void OwnerChecker::onAction(const TargetResponseWindow& window)
{
    if (Dispatch* dispatch = findActive(window.dispatch, "window"))
        dispatch->window += window.bytes;
}

void OwnerChecker::onAction(const TargetCancel& cancel)
{
    // A dispatch that was shed is cancelled too, to close its connection.
    const auto found = dispatches_.find(cancel.dispatch.value);
    if (found != dispatches_.end() && found->second.state == DispatchState::Shed)
        return;
    if (Dispatch* dispatch = findActive(cancel.dispatch, "cancel"))
        dispatch->state = DispatchState::Cancelled;
}

OwnerChecker::Exchange* OwnerChecker::find(const HostId& host, CorrelationId correlation)
{
    const auto found = std::ranges::find_if(exchanges_, [&](const auto& entry) {
        return entry.second.key.host == host && entry.second.key.correlation == correlation && !entry.second.isLost;
    });
    return found == exchanges_.end() ? nullptr : &found->second;
}

void OwnerChecker::onAction(const model::OutgoingMessage& outgoing)
{
    std::visit(
        [&](const auto& message) {
            if constexpr (requires { message.correlation; }) {
                Exchange* exchange = find(outgoing.to, message.correlation);
                if (!exchange)
                    return report("message to a lost host");
                if (exchange->ends > 0)
                    return report("message after the end of request " + std::to_string(exchange->number));
                onMessage(*exchange, message);
            } else {
                report("message of another module");
            }
        },
        outgoing.message);
}

void OwnerChecker::onMessage(Exchange& exchange, const model::ForwardResponseHead& /*head*/)
{
    if (exchange.isHeadSeen)
        report("two heads of one response");
    exchange.isHeadSeen = true;
}

void OwnerChecker::onMessage(Exchange& exchange, const model::ForwardBody& body)
{
    if (!exchange.isHeadSeen || exchange.isLastSeen || body.offset != exchange.received)
        report("response body out of order");
    if (body.bytes != bodyBytes(exchange.dispatches.back(), exchange.received, body.bytes.size()))
        report("response body has wrong bytes");
    exchange.received += body.bytes.size();
    exchange.isLastSeen = body.isLast;
    if (exchange.received > exchange.acknowledged + InitialBodyWindow)
        report("response body exceeds the window");
}

void OwnerChecker::onMessage(Exchange& exchange, const model::ForwardWindow& window)
{
    exchange.granted += window.bytes;
    if (exchange.granted > dispatches_.at(exchange.dispatches.back()).bodyReceived)
        report("window for bytes that no target received");
}

void OwnerChecker::onMessage(Exchange& exchange, const model::ForwardEnd& end)
{
    ++exchange.ends;
    ++ends_[static_cast<size_t>(end.outcome)];
    if (end.outcome == Outcome::Answered)
        checkAnswered(exchange);
    if (end.outcome == Outcome::NotRun)
        checkNotRun(exchange);
    for (const uint64_t dispatch : exchange.dispatches) {
        if (dispatches_.at(dispatch).state == DispatchState::Active)
            report("end while a dispatch is active");
    }
}

void OwnerChecker::checkAnswered(const Exchange& exchange)
{
    const Dispatch& last = dispatches_.at(exchange.dispatches.back());
    if (last.state != DispatchState::Answered)
        report("answered without a complete response");
    if (exchange.received != last.size || (last.size > 0 && !exchange.isLastSeen))
        report("incomplete response reported as answered");
}

void OwnerChecker::checkNotRun(const Exchange& exchange)
{
    for (const uint64_t dispatch : exchange.dispatches) {
        const DispatchState state = dispatches_.at(dispatch).state;
        if (state != DispatchState::NotSent && state != DispatchState::Shed)
            report("dispatched request reported as not run");
    }
}

} // namespace saltvane::requests
