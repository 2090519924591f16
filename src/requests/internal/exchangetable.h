/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/exchange.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace saltvane::requests {

/// All exchanges of this host, with indices by origin, attempt and deadline. A removed exchange stays in memory until
/// freeRemoved().
class ExchangeTable {
public:
    Exchange& add(Exchange exchange);
    [[nodiscard]] Exchange* find(ExchangeId id);
    [[nodiscard]] Exchange* find(HttpHandle handle);
    /// Finds a request by the entry host that forwarded it.
    [[nodiscard]] Exchange* find(const HostId& host, CorrelationId correlation);
    [[nodiscard]] Exchange* findByAttempt(CorrelationId correlation);
    [[nodiscard]] size_t size() const { return exchanges_.size(); }
    /// All ids in order of arrival.
    [[nodiscard]] std::vector<ExchangeId> ids() const;

    void bindAttempt(const Exchange& exchange);
    void unbindAttempt(const Exchange& exchange);
    /// Removes the index entry of the origin after the caller disconnected.
    void detachCaller(Exchange& exchange);
    /// Removes the deadline from the index.
    void clearDeadline(const Exchange& exchange);
    void remove(Exchange& exchange);
    /// Exchanges whose deadline has passed, earliest first.
    [[nodiscard]] std::vector<ExchangeId> expired(Timestamp now) const;

    void addWaiting(const Exchange& exchange) { waiting_.insert(exchange.id); }
    void removeWaiting(const Exchange& exchange) { waiting_.erase(exchange.id); }
    /// Requests waiting for credit, in order of arrival.
    [[nodiscard]] const std::set<ExchangeId>& waiting() const { return waiting_; }

    /// Frees the removed exchanges.
    void freeRemoved() { removed_.clear(); }

private:
    using ForwardKey = std::pair<HostId, CorrelationId>;

    std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
    std::unordered_map<HttpHandle, Exchange*> byHandle_;
    std::map<ForwardKey, Exchange*> byForward_;
    std::unordered_map<CorrelationId, Exchange*> byAttempt_;
    std::set<std::pair<Timestamp, ExchangeId>> deadlines_;
    std::set<ExchangeId> waiting_;
    std::vector<std::unique_ptr<Exchange>> removed_;
    uint64_t lastId_ = 0;
};

} // namespace saltvane::requests
