/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/counters.h"
#include "requests/internal/ownerqueues.h"
#include "requests/internal/ownerslots.h"
#include "requests/internal/ownertable.h"
#include "requests/iownerrequests.h"

#include <optional>
#include <span>
#include <vector>

namespace saltvane::requests {

/// Result of a forwarded request.
struct OwnerCompletion {
    model::Outcome outcome = model::Outcome::Unknown;
    model::Reason reason = model::Reason::None;
    Duration retryAfter {};
};

/// Queues forwarded requests, dispatches them to targets, retries on other targets and reports the outcome.
class OwnerDispatcher {
public:
    OwnerDispatcher(const OwnerRequestsOptions& options, model::Counters& counters, OwnerTable& table,
        OwnerDuplicateFilter& duplicates);

    /// Dispatches a new request, queues it or refuses it.
    void begin(OwnerExchange& exchange, Timestamp now);
    /// Dispatches queued requests to free slots.
    void serveQueues(Timestamp now);
    /// Calls serveQueues() if a slot was released since the last call.
    void serveFreedSlots(Timestamp now);

    void onAnswered(OwnerExchange& exchange, Timestamp now);
    void onShed(OwnerExchange& exchange, std::span<const model::Header> headers, Timestamp now);
    void onFailed(OwnerExchange& exchange, bool mayHaveReachedTarget, Timestamp now);
    /// No byte of the attempt was sent, since the request must not run any more.
    void onWithheld(OwnerExchange& exchange, model::Reason reason, Timestamp now);
    /// Removes the request from its queue or aborts its attempt, and ends it. The outcome of a dispatched request is
    /// unknown.
    void abortRequest(OwnerExchange& exchange, steering::DispatchResult result, model::Reason reason, Timestamp now);
    /// Like abortRequest(), without a report because the entry host is lost.
    void dropRequest(OwnerExchange& exchange, Timestamp now);
    /// Ends the request and reports the outcome to the entry host. The exchange is no longer valid.
    void finish(OwnerExchange& exchange, OwnerCompletion completion, Timestamp now);

    void send(const OwnerExchange& exchange, model::Message message);
    void emit(Action action) { actions_.push_back(std::move(action)); }
    [[nodiscard]] std::vector<Action> drainActions() { return std::exchange(actions_, {}); }

    void tick(Timestamp now);
    void releaseClosingSlots(Timestamp now);
    [[nodiscard]] uint32_t closingSlotCount() const { return slots_.closingCount(); }
    [[nodiscard]] const OwnerQueues& queues() const { return queues_; }

private:
    [[nodiscard]] bool startAttempt(OwnerExchange& exchange, Timestamp now);
    void startAttempt(OwnerExchange& exchange, const steering::ITargetPool::Slot& slot, Timestamp now);
    void enqueue(OwnerExchange& exchange, Timestamp now);
    [[nodiscard]] bool hasTargetLeft(const OwnerExchange& exchange) const;
    void serveQueue(const ServiceName& service, Timestamp now);
    void refuseQueueFull(OwnerExchange& exchange, Timestamp now);
    void finishDropped(Timestamp now);
    void retryOrFinish(OwnerExchange& exchange, OwnerCompletion completion, Timestamp now);
    void endAttempt(OwnerExchange& exchange);
    /// Aborts the attempt; returns false if the request was still queued, which removes it from the queue.
    bool abortAttempt(OwnerExchange& exchange, steering::DispatchResult result, Timestamp now);
    void writeAccessRecord(const OwnerExchange& exchange, const OwnerCompletion& completion, Timestamp now);

    const OwnerRequestsOptions& options_;
    model::Counters& counters_;
    OwnerTable& table_;
    OwnerDuplicateFilter& duplicates_;
    OwnerQueues queues_;
    OwnerSlots slots_;
    std::vector<Action> actions_;
    uint64_t lastDispatch_ = 0;
    bool hasFreedSlot_ = false;
};

} // namespace saltvane::requests
