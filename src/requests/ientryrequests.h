/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/icredits.h"
#include "membership/membershiptypes.h"
#include "model/counters.h"
#include "model/deployment.h"
#include "requests/exchangetypes.h"
#include "requests/itokenissuer.h"
#include "steering/iretrybudget.h"
#include "steering/isteering.h"

#include <memory>
#include <vector>

namespace saltvane::requests {

/// Request handling on the entry host: accepts a request, claims its key, chooses a zone, forwards it, streams the
/// response and reports the outcome. Every request gets exactly one outcome and returns each of its credits exactly
/// once. docs/REQUESTS.md
class IEntryRequests {
public:
    virtual ~IEntryRequests() = default;

    virtual void install(model::DeploymentPtr deployment, Timestamp now) = 0;
    virtual void handle(HttpEvent event, Timestamp now) = 0;
    /// Replies of owners and token issuers; ForwardRequest with purpose Mint, and its body frames.
    virtual void handle(const model::Delivery& delivery, Timestamp now) = 0;
    /// The link to the host broke or the host restarted: requests forwarded to it will get no reply.
    virtual void onHostLost(const HostId& host, Timestamp now) = 0;
    /// If false, new requests are refused with NotReady because the state of the deployment is not current.
    virtual void setReady(bool isReady) = 0;
    /// The control host that caller-made keys are claimed at; empty while it is unknown.
    virtual void setControlLeader(const HostId& leader) = 0;
    /// Starts a planned stop: new requests are refused with Stopping, requests in flight continue.
    virtual void startStopping(Timestamp now) = 0;
    /// Terminates all requests in flight; returns their number.
    virtual uint32_t terminateAll(Timestamp now) = 0;
    [[nodiscard]] virtual uint32_t inFlight() const = 0;
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<Action> drainActions() = 0;
};

/// Tells the entry host which hosts are alive.
class IHostLiveness {
public:
    virtual ~IHostLiveness() = default;
    /// True if this incarnation of the host is alive, as far as is known.
    [[nodiscard]] virtual bool isAlive(const HostId& host, Incarnation incarnation) const = 0;
};

struct EntryRequestsOptions {
    membership::HostIdentity self;
    steering::ISteering* steering = nullptr;
    membership::ICreditStore* credits = nullptr;
    steering::IRetryBudget* retryBudget = nullptr;
    ITokenIssuer* tokenIssuer = nullptr;
    const IHostLiveness* hosts = nullptr;
    model::Counters* counters = nullptr;
    uint32_t maxAttempts = 3;
    uint64_t maxStoredResponseBytes = 64 * 1024; ///< Size limit of a response that is stored for resends of its key.
    uint64_t maxStoredTotalBytes = 64 * 1024 * 1024;
    uint32_t maxKeys = 200000; ///< At the limit, requests with new keys are refused; no key is evicted.
    Duration maxCreditWait = 250ms; ///< A request that got no credit within this time is refused.
    uint32_t maxInFlight = 10000;
    uint64_t seed = 1;
};

[[nodiscard]] std::unique_ptr<IEntryRequests> makeEntryRequests(const EntryRequestsOptions& options);

} // namespace saltvane::requests
