/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/ownerdispatcher.h"
#include "requests/internal/ownerduplicatefilter.h"
#include "requests/internal/ownertable.h"
#include "requests/iownerrequests.h"

#include <vector>

namespace saltvane::requests {

/// Dispatches frames of entry hosts and events of targets to the exchange that they belong to.
class OwnerRequests : public IOwnerRequests {
public:
    explicit OwnerRequests(const OwnerRequestsOptions& options);

    void handle(const model::Delivery& delivery, Timestamp now) override;
    void handle(TargetEvent event, Timestamp now) override;
    [[nodiscard]] model::Reason recheck(DispatchId dispatch, Timestamp now) override;
    void onHostLost(const HostId& host, Timestamp now) override;
    void serveQueues(Timestamp now) override;
    [[nodiscard]] uint32_t inFlight() const override;
    [[nodiscard]] uint32_t queued(const ServiceName& service) const override;
    [[nodiscard]] Duration queueDelay(const ServiceName& service, Timestamp now) const override;
    uint32_t terminateAll(Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<Action> drainActions() override { return dispatcher_.drainActions(); }

private:
    void onFrame(const ExchangeKey& key, const model::ForwardRequest& request, Timestamp now);
    void onFrame(const ExchangeKey& key, const model::ForwardBody& body, Timestamp now);
    void onFrame(const ExchangeKey& key, const model::ForwardWindow& window, Timestamp now);
    void onFrame(const ExchangeKey& key, const model::ForwardCancel& cancel, Timestamp now);
    [[nodiscard]] bool acceptSender(const model::Delivery& delivery, Timestamp now);

    void onEvent(OwnerExchange& exchange, TargetResponseHead& head, Timestamp now);
    void onEvent(OwnerExchange& exchange, TargetResponseBody& body, Timestamp now);
    void onEvent(OwnerExchange& exchange, TargetResponseDone& done, Timestamp now);
    void onEvent(OwnerExchange& exchange, TargetRequestProgress& progress, Timestamp now);
    void onEvent(OwnerExchange& exchange, TargetFailed& failure, Timestamp now);

    /// Sends as much of the response as the window of the entry host allows; ends the request after the last frame.
    void pump(OwnerExchange& exchange, Timestamp now);
    void abortBrokenBody(OwnerExchange& exchange, steering::DispatchResult result, model::Reason reason, Timestamp now);
    void expire(OwnerExchange& exchange, Timestamp now);

    OwnerRequestsOptions options_;
    model::Counters ownCounters_; ///< Used if the options contain no counters.
    model::Counters& counters_;
    OwnerTable table_;
    OwnerDuplicateFilter duplicates_;
    OwnerDispatcher dispatcher_;
};

} // namespace saltvane::requests
