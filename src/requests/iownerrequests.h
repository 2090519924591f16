/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/membershiptypes.h"
#include "model/counters.h"
#include "requests/exchangetypes.h"
#include "steering/itargetpool.h"
#include "steering/iwaitqueue.h"

#include <memory>
#include <vector>

namespace saltvane::requests {

/// Request handling on the owner of targets: queues a request, acquires a slot, dispatches to a target, streams the
/// response and reports the outcome. Every forwarded request gets exactly one ForwardEnd and releases its slot exactly
/// once. docs/REQUESTS.md
class IOwnerRequests {
public:
    virtual ~IOwnerRequests() = default;

    /// Handles ForwardRequest (purpose Dispatch), ForwardBody, ForwardWindow and ForwardCancel.
    virtual void handle(const model::Delivery& delivery, Timestamp now) = 0;
    virtual void handle(TargetEvent event, Timestamp now) = 0;
    /// Called right before the first byte of a request is sent to its target. Returns why it must not be sent any more,
    /// or None.
    [[nodiscard]] virtual model::Reason recheck(DispatchId dispatch, Timestamp now) = 0;
    /// The link to the entry host broke or the host restarted: its requests are cancelled.
    virtual void onHostLost(const HostId& host, Timestamp now) = 0;
    /// Dispatches queued requests; called when slots may have become free.
    virtual void serveQueues(Timestamp now) = 0;
    /// Unfinished requests, including queued ones, plus slots not released yet. 0 means that a stop loses nothing.
    [[nodiscard]] virtual uint32_t inFlight() const = 0;
    [[nodiscard]] virtual uint32_t queued(const ServiceName& service) const = 0;
    [[nodiscard]] virtual Duration queueDelay(const ServiceName& service, Timestamp now) const = 0;
    /// Terminates all requests in flight; returns how many of them had been dispatched.
    virtual uint32_t terminateAll(Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<Action> drainActions() = 0;
};

struct OwnerRequestsOptions {
    membership::HostIdentity self;
    steering::ITargetPool* pool = nullptr;
    model::Counters* counters = nullptr;
    steering::QueueOrder queueOrder = steering::QueueOrder::EarliestDeadline;
    /// Limit of the queue: queued requests per usable slot. At least one request may always wait.
    double maxQueuedPerSlot = 1.0;
    uint32_t maxAttempts = 2; ///< Targets that one forwarded request is dispatched to, at most.
};

[[nodiscard]] std::unique_ptr<IOwnerRequests> makeOwnerRequests(const OwnerRequestsOptions& options);

} // namespace saltvane::requests
