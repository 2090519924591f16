/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/entryrequests.h"

#include <utility>

namespace saltvane::requests {
namespace {

EntryContext makeContext(const EntryRequestsOptions& options, model::Counters& ownCounters)
{
    return {.options = options,
        .counters = options.counters ? options.counters : &ownCounters,
        .keys = KeyTable({.maxResponseBytes = options.maxStoredResponseBytes,
            .maxTotalBytes = options.maxStoredTotalBytes,
            .maxKeys = options.maxKeys})};
}

} // namespace

EntryRequests::EntryRequests(const EntryRequestsOptions& options)
    : context_(makeContext(options, ownCounters_))
    , writer_(context_)
    , finalizer_(context_)
    , forwarder_(context_)
    , responses_(context_)
    , keyed_(context_)
    , receiver_(context_)
{
    context_.responses = &responses_;
    context_.writer = &writer_;
    context_.forwarder = &forwarder_;
    context_.keyed = &keyed_;
    context_.finalizer = &finalizer_;
}

void EntryRequests::install(model::DeploymentPtr deployment, Timestamp) { context_.deployment = std::move(deployment); }

void EntryRequests::handle(HttpEvent event, Timestamp now)
{
    std::visit([this, now](auto& occurred) { receiver_.handle(std::move(occurred), now); }, event);
    finishStep(now);
}

void EntryRequests::handle(const model::Delivery& delivery, Timestamp now)
{
    if (const auto* request = std::get_if<model::ForwardRequest>(&delivery.message))
        receiver_.handle(delivery, *request, now);
    else if (const auto* body = std::get_if<model::ForwardBody>(&delivery.message))
        handle(delivery, *body, now);
    else if (const auto* window = std::get_if<model::ForwardWindow>(&delivery.message))
        handle(delivery, *window, now);
    else if (const auto* cancel = std::get_if<model::ForwardCancel>(&delivery.message))
        receiver_.handle(delivery, *cancel, now);
    else if (const auto* head = std::get_if<model::ForwardResponseHead>(&delivery.message))
        responses_.handle(delivery, *head, now);
    else if (const auto* end = std::get_if<model::ForwardEnd>(&delivery.message))
        responses_.handle(delivery, *end, now);
    else if (const auto* reply = std::get_if<model::ClaimReply>(&delivery.message))
        keyed_.handle(*reply, now);
    finishStep(now);
}

void EntryRequests::handle(const model::Delivery& delivery, const model::ForwardBody& body, Timestamp now)
{
    if (body.direction == model::Direction::ToTarget)
        receiver_.handle(delivery, body, now);
    else
        responses_.handle(delivery, body, now);
}

void EntryRequests::handle(const model::Delivery& delivery, const model::ForwardWindow& window, Timestamp now)
{
    if (window.direction == model::Direction::ToTarget)
        responses_.handle(delivery, window, now);
    else
        receiver_.handle(delivery, window, now);
}

void EntryRequests::onHostLost(const HostId& host, Timestamp now)
{
    forwarder_.onHostLost(host);
    std::vector<ExchangeId> orphans;
    for (const ExchangeId id : context_.table.ids()) {
        Exchange* exchange = context_.table.find(id);
        const auto* forwarded = std::get_if<ForwardedOrigin>(&exchange->origin);
        if (!forwarded || forwarded->host != host)
            continue;
        context_.table.detachCaller(*exchange);
        orphans.push_back(id);
    }
    for (const ExchangeId id : orphans) {
        if (Exchange* exchange = context_.table.find(id))
            finalizer_.finishForDisconnectedCaller(*exchange, model::Reason::PeerLost, now);
    }
    const Completion lost {.outcome = model::Outcome::Unknown, .reason = model::Reason::PeerLost};
    for (const ExchangeId id : context_.table.ids()) {
        Exchange* exchange = context_.table.find(id);
        if (exchange && exchange->attempt && exchange->attempt->host == host)
            forwarder_.onAttemptFailed(*exchange, lost, now);
    }
    finishStep(now);
}

void EntryRequests::setReady(bool isReady) { context_.isReady = isReady; }

void EntryRequests::setControlLeader(const HostId& leader)
{
    if (context_.controlLeader == leader)
        return;
    context_.controlLeader = leader;
    keyed_.onLeaderChanged();
}

void EntryRequests::startStopping(Timestamp) { context_.isStopping = true; }

uint32_t EntryRequests::terminateAll(Timestamp now)
{
    const auto count = static_cast<uint32_t>(context_.table.size());
    std::vector<ExchangeId> running;
    for (const ExchangeId id : context_.table.ids()) {
        Exchange* exchange = context_.table.find(id);
        if (exchange->phase == Phase::Finalized)
            finalizer_.terminate(*exchange, now);
        else
            running.push_back(id);
    }
    for (const ExchangeId id : running) {
        Exchange* exchange = context_.table.find(id);
        if (exchange && exchange->phase != Phase::Finalized)
            finalizer_.terminate(*exchange, now);
    }
    context_.table.freeRemoved();
    return count;
}

uint32_t EntryRequests::inFlight() const { return static_cast<uint32_t>(context_.table.size()); }

void EntryRequests::tick(Timestamp now)
{
    for (const ExchangeId id : context_.table.expired(now)) {
        Exchange* exchange = context_.table.find(id);
        if (exchange && exchange->phase != Phase::Finalized)
            finalizer_.finishForDeadline(*exchange, now);
    }
    forwarder_.tick(now);
    keyed_.tick(now);
    finishStep(now);
}

std::vector<Action> EntryRequests::drainActions() { return std::exchange(context_.actions, {}); }

void EntryRequests::finishStep(Timestamp now)
{
    if (context_.isCreditFreed)
        forwarder_.serveWaiting(now, false);
    context_.table.freeRemoved();
}

} // namespace saltvane::requests
