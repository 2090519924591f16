/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/icredits.h"

#include <compare>
#include <map>

namespace saltvane::membership {

/// Windows at owner hosts. At most one request per owner is unanswered at a time. A window expires `validFor` after its
/// request was first sent, so always before the issuer releases it, however long the messages take.
class CreditStore final : public ICreditStore {
public:
    explicit CreditStore(const CreditOptions& options);

    void setOwners(std::span<const Owner> owners, Timestamp now) override;
    void handle(const HostId& from, const model::CreditGrant& grant, Timestamp now) override;
    void onOwnerLost(const HostId& owner, Timestamp now) override;
    [[nodiscard]] bool hasCredit(const ServiceName& service, const ZoneName& zone, Timestamp now) const override;
    [[nodiscard]] std::optional<HostId> useCredit(
        const ServiceName& service, const ZoneName& zone, std::span<const HostId> excluded, Timestamp now) override;
    void returnCredit(const HostId& owner, const ServiceName& service, Timestamp now) override;
    void recordUnmetDemand(const ServiceName& service, const ZoneName& zone, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing() override;

private:
    struct Key {
        ServiceName service;
        HostId owner;
        auto operator<=>(const Key&) const = default;
    };
    /// Window and demand for one service at one owner.
    struct OwnerAccount {
        ZoneName zone;
        Duration delay {};
        uint32_t ownersInZone = 1; ///< Owners of the service in the zone, which share the missed requests.
        bool isCurrentOwner = false; ///< In the current list of owners.
        uint32_t window = 0;
        Timestamp endsAt {};
        uint32_t inUse = 0;
        uint32_t peakUse = 0; ///< Since the last request.
        uint32_t previousPeakUse = 0; ///< In the interval before the last request.
        uint32_t missedRequests = 0; ///< Requests that found no credit since the last request.
        uint64_t sequence = 0; ///< Sequence of the newest request.
        bool isUnanswered = false; ///< The newest request is unanswered.
        Timestamp firstSentAt {};
        Timestamp lastSentAt {};
        Timestamp nextRequestAt {};
        Duration missInterval {}; ///< Minimum time between requests; grows while too little is granted.
    };
    using OwnerAccounts = std::map<Key, OwnerAccount>;

    [[nodiscard]] static uint32_t freeCredit(const OwnerAccount& account, Timestamp now);
    [[nodiscard]] uint32_t wanted(const OwnerAccount& account) const;
    /// True without a window, without demand and without an unanswered request: no message is needed.
    [[nodiscard]] bool isIdle(const OwnerAccount& account, Timestamp now) const;
    void request(const Key& key, OwnerAccount& account, Timestamp now);
    void send(const Key& key, OwnerAccount& account, Timestamp now);
    void revokeWindow(OwnerAccount& account) const;
    /// Range of the entries of the service.
    [[nodiscard]] std::pair<OwnerAccounts::iterator, OwnerAccounts::iterator> accountsOf(const ServiceName& service);
    void count(model::Counter counter) const;

    CreditOptions options_;
    OwnerAccounts accounts_;
    uint64_t tieBreaker_ = 0; ///< Distributes ties among the owners.
    std::vector<model::OutgoingMessage> outgoing_;
};

} // namespace saltvane::membership
