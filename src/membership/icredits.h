/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/membershiptypes.h"
#include "model/counters.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace saltvane::membership {

/// Credits at the owner host: divides the capacity of its targets into windows, one for each requesting host. The sum
/// of all unexpired windows never exceeds the capacity plus the queue allowance.
class ICreditIssuer {
public:
    virtual ~ICreditIssuer() = default;
    /// Sets the total window of the service: the usable slots plus the requests that may wait in the queue.
    virtual void setCapacity(const ServiceName& service, uint32_t capacity, Timestamp now) = 0;
    virtual void handle(const HostId& from, const model::CreditRequest& request, Timestamp now) = 0;
    /// The host was lost. Its windows stay reserved until they expire, because it may still send requests.
    virtual void onHostLost(const HostId& host, Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<model::OutgoingMessage> drainOutgoing() = 0;
    [[nodiscard]] virtual uint32_t outstanding(const ServiceName& service, Timestamp now) const = 0;
};

/// Credits at the entry host: its windows at the owner hosts, by service.
class ICreditStore {
public:
    virtual ~ICreditStore() = default;
    struct Owner {
        HostId host;
        ServiceName service;
        ZoneName zone;
        Duration delay {};
    };
    /// Replaces the list of owners. Windows at owners that are not listed are dropped.
    virtual void setOwners(std::span<const Owner> owners, Timestamp now) = 0;
    virtual void handle(const HostId& from, const model::CreditGrant& grant, Timestamp now) = 0;
    virtual void onOwnerLost(const HostId& owner, Timestamp now) = 0;
    [[nodiscard]] virtual bool hasCredit(const ServiceName& service, const ZoneName& zone, Timestamp now) const = 0;
    /// Uses one credit at the owner in the zone that has the most free credit and is not in `excluded`.
    [[nodiscard]] virtual std::optional<HostId> useCredit(
        const ServiceName& service, const ZoneName& zone, std::span<const HostId> excluded, Timestamp now)
        = 0;
    /// Returns the credit when the request at the owner has completed; exactly once per use.
    virtual void returnCredit(const HostId& owner, const ServiceName& service, Timestamp now) = 0;
    /// Records that a request found no credit in the zone; requests more.
    virtual void recordUnmetDemand(const ServiceName& service, const ZoneName& zone, Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<model::OutgoingMessage> drainOutgoing() = 0;
};

struct CreditOptions {
    Duration windowLifetime = 1500ms;
    Duration requestInterval = 200ms;
    Duration clockMargin
        = 150ms; ///< Added to the end of a window at the issuer, for clocks that run at different rates.
    /// Requested without demand at each owner within `idleWindowMaxDelay`, so that a first request need not wait.
    uint32_t idleWindow = 1;
    /// Maximum one-way delay for standing windows. Standing windows between all hosts would use up a small capacity and
    /// need messages between all pairs of hosts.
    Duration idleWindowMaxDelay = 10ms;
    model::Counters* counters = nullptr;
};

[[nodiscard]] std::unique_ptr<ICreditIssuer> makeCreditIssuer(const CreditOptions& options);
[[nodiscard]] std::unique_ptr<ICreditStore> makeCreditStore(const CreditOptions& options);

} // namespace saltvane::membership
