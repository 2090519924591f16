/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/hostmodules.h"
#include "host/internal/issuerforwards.h"
#include "host/internal/outbox.h"
#include "host/internal/startup.h"
#include "model/message.h"

namespace saltvane::host {

/// Dispatches each message, from another host or from this one to itself, to the module that handles it.
class MessageRouter {
public:
    /// All references must outlive the router.
    MessageRouter(HostModules& modules, IssuerForwards& issuerForwards, Startup& startup, Outbox& outbox);
    void route(const model::Delivery& delivery, Timestamp now);

private:
    void toReplica(const model::Delivery& delivery, Timestamp now);
    void refuseClaim(const model::Delivery& delivery, const model::ClaimRequest& request);
    void toOwner(const model::Delivery& delivery, Timestamp now);
    void toEntry(const model::Delivery& delivery, Timestamp now);
    void toReceiver(const model::Delivery& delivery, CorrelationId correlation, Timestamp now);
    void beginForward(const model::Delivery& delivery, const model::ForwardRequest& request, Timestamp now);
    void refuseIssuerForward(const model::Delivery& delivery, const model::ForwardRequest& request);
    void cancelForward(const model::Delivery& delivery, const model::ForwardCancel& cancel, Timestamp now);
    void replyWithRows(const model::Delivery& delivery);

    HostModules& modules_;
    IssuerForwards& issuerForwards_;
    Startup& startup_;
    Outbox& outbox_;
};

} // namespace saltvane::host
