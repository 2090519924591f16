/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/ownerexchange.h"

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace saltvane::requests {

/// The forwarded requests in progress, with indices by id, key, dispatch and deadline.
class OwnerTable {
public:
    OwnerExchange& add(ExchangeKey key, const model::ForwardRequest& request, Timestamp now);
    void erase(const OwnerExchange& exchange);

    [[nodiscard]] OwnerExchange* find(OwnerExchangeId id);
    [[nodiscard]] OwnerExchange* find(const ExchangeKey& key);
    [[nodiscard]] OwnerExchange* find(DispatchId dispatch);
    void startAttempt(OwnerExchange& exchange, OwnerAttempt attempt);
    void endAttempt(OwnerExchange& exchange);

    [[nodiscard]] size_t size() const { return exchanges_.size(); }
    /// All ids in order of arrival.
    [[nodiscard]] std::vector<OwnerExchangeId> ids() const;
    /// The requests of the host, except those of the incarnation `except`.
    [[nodiscard]] std::vector<OwnerExchangeId> idsOfHost(const HostId& host, std::optional<Incarnation> except) const;
    /// The request with the earliest deadline if that has passed; otherwise null.
    [[nodiscard]] OwnerExchange* findExpired(Timestamp now);

private:
    std::map<OwnerExchangeId, OwnerExchange> exchanges_;
    std::map<ExchangeKey, OwnerExchangeId> byKey_;
    std::unordered_map<DispatchId, OwnerExchangeId> byDispatch_;
    std::set<std::pair<Timestamp, OwnerExchangeId>> byDeadline_;
    OwnerExchangeId lastId_ = 0;
};

} // namespace saltvane::requests
