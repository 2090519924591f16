/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/message.h"
#include "model/reasons.h"
#include "requests/exchangetypes.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace saltvane::gateway {

/// Credits for requests that are subject to a limit over all gateways: each request needs one before it is sent to a
/// target. Registry hosts grant them, so that all gateways together stay within the limit even if they can't reach each
/// other. docs/design/0016-client-accounts.md
class LimitCredits {
public:
    /// Result of a request for a credit.
    struct CreditResult {
        requests::HttpHandle handle;
        model::Reason reason = model::Reason::None; ///< None: the credit was granted.
        Duration retryAfter {};
    };

    /// Sets the responsive registry hosts, nearest first.
    void setSources(std::vector<HostId> sources) { sources_ = std::move(sources); }
    /// Uses a spare credit if there is one.
    [[nodiscard]] bool trySpend(const model::LimitId& limit, Timestamp now);
    struct CreditRequest {
        requests::HttpHandle handle;
        model::LimitId limit;
        std::optional<model::AccountLimitNotice> accountLimit; ///< If it is the limit of an account.
        std::optional<model::BackpressureNotice> targetLimit; ///< If it is the limit of a target.
        size_t maxSources = 0;
    };
    /// Requests a credit from the registry, from at most `maxSources` hosts in turn; the result follows.
    void request(CreditRequest request, Timestamp now);
    /// The request ended before its result arrived.
    void cancel(requests::HttpHandle handle);
    /// Returns the credit of a request that was not run.
    void returnCredit(const model::LimitId& limit, Timestamp now);

    void handle(const model::LimitCreditReply& reply, Timestamp now);
    /// Sends the requests pending at this host to another one.
    void onLinkDown(const HostId& host, Timestamp now);
    /// Sends requests that timed out to another host.
    void tick(Timestamp now);

    [[nodiscard]] std::vector<CreditResult> drainResults() { return std::exchange(results_, {}); }
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing();

private:
    struct PendingRequest {
        CreditRequest credit; ///< Its handle is 0 if the caller's request no longer waits for it.
        HostId source;
        std::vector<HostId> askedHosts; ///< All hosts so far.
        Timestamp sentAt;
        Timestamp timeoutAt;
    };

    void send(PendingRequest request, Timestamp now);
    static void addLimit(model::LimitCreditRequest& message, const CreditRequest& request);
    /// Tries the next host; without one, the result is that the limit is unknown.
    void requestFromNext(uint64_t requestNumber, Timestamp now);
    void abandon(uint64_t requestNumber, Timestamp now);
    void onTimeout(const PendingRequest& request);
    /// Whether this request may probe if a registry host answers again.
    [[nodiscard]] bool tryStartProbe(Timestamp now);
    void expire(Timestamp now);

    std::vector<HostId> sources_;
    std::unordered_map<uint64_t, PendingRequest> pendingRequests_;
    std::unordered_map<requests::HttpHandle, uint64_t> byHandle_;
    std::set<std::pair<Timestamp, uint64_t>> timeouts_;
    std::unordered_map<model::LimitId, std::deque<Timestamp>> spareCredits_; ///< Expiry times of unused credits.
    std::deque<std::pair<Timestamp, model::LimitId>> spareExpiries_;
    uint64_t lastRequestNumber_ = 0;
    Timestamp answeredAt_ {}; ///< Last answer of any registry host.
    bool isRegistryUnresponsive_ = false; ///< No registry host has answered since a request that timed out.
    Timestamp nextProbeAt_ {};
    std::unordered_map<HostId, model::LimitCreditRequest> outgoing_;
    std::vector<CreditResult> results_;
};

} // namespace saltvane::gateway
