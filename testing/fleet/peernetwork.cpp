/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "peernetwork.h"

#include <algorithm>

namespace saltvane::fleet::test {

namespace {

constexpr Duration Delay = 10ms; ///< One way.
/// Distinguishes these handles from those of callers.
constexpr uint64_t FirstHandle = uint64_t {1} << 40U;

} // namespace

PeerNetwork::PeerNetwork(Fleet& fleet)
    : fleet_(fleet)
    , lastHandle_(FirstHandle)
{
}

void PeerNetwork::deliver(size_t gateway, host::Event event)
{
    pendingEvents_.push_back({.at = fleet_.registries().now() + Delay, .gateway = gateway, .event = std::move(event)});
}

std::optional<requests::HttpHandle> PeerNetwork::handleOf(size_t from, requests::DispatchId dispatch) const
{
    const auto found = std::ranges::find_if(
        exchanges_, [&](const auto& item) { return item.second.from == from && item.second.dispatch == dispatch; });
    return found == exchanges_.end() ? std::nullopt : std::optional(found->first);
}

bool PeerNetwork::handleAction(size_t gateway, const requests::Action& action)
{
    if (const auto* request = std::get_if<requests::TargetStart>(&action)) {
        const std::optional<size_t> peer = fleet_.gatewayAt(request->address);
        if (peer)
            start(gateway, *peer, *request);
        return peer.has_value();
    }
    if (const auto* body = std::get_if<requests::TargetRequestBody>(&action))
        return sendBody(gateway, *body);
    if (const auto* cancelled = std::get_if<requests::TargetCancel>(&action))
        return cancel(gateway, cancelled->dispatch);
    if (const auto* response = std::get_if<requests::HttpRespond>(&action))
        return respond(*response);
    if (const auto* body = std::get_if<requests::HttpResponseBody>(&action))
        return respond(*body);
    if (const auto* aborted = std::get_if<requests::HttpAbort>(&action))
        return abort(aborted->handle);
    return false;
}

void PeerNetwork::start(size_t from, size_t to, const requests::TargetStart& start)
{
    ++sent_;
    if (const model::Reason reason = fleet_.recheck(from, start.dispatch); reason != model::Reason::None)
        return deliver(from,
            requests::TargetEvent(requests::TargetFailed {.dispatch = start.dispatch,
                .mayHaveReachedTarget = false,
                .message = "withheld",
                .withheldFor = reason}));
    const requests::HttpHandle handle {++lastHandle_};
    exchanges_.emplace(handle, Exchange {.from = from, .dispatch = start.dispatch, .to = to});
    deliver(to,
        requests::HttpEvent(requests::HttpRequestStarted {.handle = handle,
            .method = start.method,
            .path = start.path,
            .headers = start.headers,
            .bodyLength = start.bodyLength}));
}

bool PeerNetwork::sendBody(size_t from, const requests::TargetRequestBody& body)
{
    const auto handle = handleOf(from, body.dispatch);
    if (!handle)
        return false;
    deliver(exchanges_.at(*handle).to,
        requests::HttpEvent(
            requests::HttpRequestBody {.handle = *handle, .bytes = body.bytes.text(), .isLast = body.isLast}));
    return true;
}

bool PeerNetwork::cancel(size_t from, requests::DispatchId dispatch)
{
    const auto handle = handleOf(from, dispatch);
    if (!handle)
        return false;
    deliver(exchanges_.at(*handle).to, requests::HttpEvent(requests::HttpRequestAborted {.handle = *handle}));
    exchanges_.erase(*handle);
    return true;
}

bool PeerNetwork::respond(const requests::HttpRespond& response)
{
    const auto found = exchanges_.find(response.handle);
    if (found == exchanges_.end())
        return response.handle.value > FirstHandle;
    const Exchange& exchange = found->second;
    deliver(exchange.from,
        requests::TargetEvent(requests::TargetResponseHead {.dispatch = exchange.dispatch,
            .status = response.status,
            .headers = response.headers,
            .bodyLength = response.bodyLength}));
    if (!response.bytes.empty())
        deliver(exchange.from,
            requests::TargetEvent(
                requests::TargetResponseBody {.dispatch = exchange.dispatch, .bytes = response.bytes}));
    if (response.isLast)
        complete(response.handle);
    return true;
}

bool PeerNetwork::respond(const requests::HttpResponseBody& body)
{
    const auto found = exchanges_.find(body.handle);
    if (found == exchanges_.end())
        return body.handle.value > FirstHandle;
    if (!body.bytes.empty())
        deliver(found->second.from,
            requests::TargetEvent(
                requests::TargetResponseBody {.dispatch = found->second.dispatch, .bytes = body.bytes}));
    if (body.isLast)
        complete(body.handle);
    return true;
}

void PeerNetwork::complete(requests::HttpHandle handle)
{
    const Exchange exchange = exchanges_.extract(handle).mapped();
    deliver(exchange.from, requests::TargetEvent(requests::TargetResponseDone {.dispatch = exchange.dispatch}));
    deliver(exchange.to, requests::HttpEvent(requests::HttpResponseDone {.handle = handle}));
}

bool PeerNetwork::abort(requests::HttpHandle handle)
{
    const auto found = exchanges_.find(handle);
    if (found == exchanges_.end())
        return handle.value > FirstHandle;
    deliver(found->second.from,
        requests::TargetEvent(
            requests::TargetFailed {.dispatch = found->second.dispatch, .message = "connection closed"}));
    exchanges_.erase(found);
    return true;
}

void PeerNetwork::dropGateway(size_t gateway)
{
    std::erase_if(pendingEvents_, [&](const PendingEvent& pending) { return pending.gateway == gateway; });
    for (const auto& [handle, exchange] : exchanges_) {
        if (exchange.to == gateway)
            deliver(exchange.from,
                requests::TargetEvent(
                    requests::TargetFailed {.dispatch = exchange.dispatch, .message = "connection closed"}));
        else if (exchange.from == gateway)
            deliver(exchange.to, requests::HttpEvent(requests::HttpRequestAborted {.handle = handle}));
    }
    std::erase_if(
        exchanges_, [&](const auto& item) { return item.second.from == gateway || item.second.to == gateway; });
}

void PeerNetwork::step()
{
    std::vector<PendingEvent> dueEvents;
    std::erase_if(pendingEvents_, [&](PendingEvent& pending) {
        if (pending.at > fleet_.registries().now())
            return false;
        dueEvents.push_back(std::move(pending));
        return true;
    });
    for (PendingEvent& pending : dueEvents)
        fleet_.handle(pending.gateway, std::move(pending.event));
}

} // namespace saltvane::fleet::test
