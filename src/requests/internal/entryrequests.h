/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/callerwriter.h"
#include "requests/internal/finalizer.h"
#include "requests/internal/forwarder.h"
#include "requests/internal/keyedrequests.h"
#include "requests/internal/requestreceiver.h"
#include "requests/internal/responserelay.h"

namespace saltvane::requests {

/// Owns the components of the entry side and dispatches events to them.
class EntryRequests final : public IEntryRequests {
public:
    explicit EntryRequests(const EntryRequestsOptions& options);
    EntryRequests(const EntryRequests&) = delete;
    EntryRequests& operator=(const EntryRequests&) = delete;

    void install(model::DeploymentPtr deployment, Timestamp now) override;
    void handle(HttpEvent event, Timestamp now) override;
    void handle(const model::Delivery& delivery, Timestamp now) override;
    void onHostLost(const HostId& host, Timestamp now) override;
    void setReady(bool isReady) override;
    void setControlLeader(const HostId& leader) override;
    void startStopping(Timestamp now) override;
    [[nodiscard]] uint32_t terminateAll(Timestamp now) override;
    [[nodiscard]] uint32_t inFlight() const override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<Action> drainActions() override;

private:
    void handle(const model::Delivery& delivery, const model::ForwardBody& body, Timestamp now);
    void handle(const model::Delivery& delivery, const model::ForwardWindow& window, Timestamp now);
    /// Serves waiting requests and frees removed exchanges; called after each event.
    void finishStep(Timestamp now);

    model::Counters ownCounters_; ///< Used if the options contain no counters.
    EntryContext context_;
    CallerWriter writer_;
    Finalizer finalizer_;
    Forwarder forwarder_;
    ResponseRelay responses_;
    KeyedRequests keyed_;
    RequestReceiver receiver_;
};

} // namespace saltvane::requests
