/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/entrycontext.h"
#include "requests/internal/keyclaims.h"

namespace saltvane::requests {

/// Handles non-repeatable requests by their idempotency key. Each key runs at most once: at the host that issued it, or
/// at the host that claimed it in the replicated log. A resend gets the stored response, waits for the run to end, or
/// gets outcome unknown.
class KeyedRequests {
public:
    explicit KeyedRequests(EntryContext& context);

    /// Starts a keyed request. `admissionRefusal` is the reason why no new request is accepted at present, or None.
    void begin(Exchange& exchange, model::Reason admissionRefusal, Timestamp now);
    /// Continues the request once enough of its body has arrived for the fingerprint.
    void onBodyReceived(Exchange& exchange, Timestamp now);
    void handle(const model::ClaimReply& reply, Timestamp now);
    void onLeaderChanged() { claims_.onLeaderChanged(); }

    /// Stores the response of the run in the record of the key.
    void storeResponse(const Exchange& exchange, StoredResponse response);
    /// Completes the run of the exchange's key. If the key may still run and the caller was not told "not run", a
    /// waiting request runs it; otherwise the waiting requests get the same outcome.
    void completeRun(Exchange& exchange, const Completion& completion, bool isReportedToCaller, Timestamp now);
    /// Allows the key to run again: the owner reported that the run with outcome unknown did not run.
    void reopen(const KeyName& key);
    /// Stops the exchange waiting for the run of its key.
    void removeWaiter(const Exchange& exchange);
    /// True if no request with this key has run and none will run unless it is sent again.
    [[nodiscard]] bool isKnownNotRun(const Exchange& exchange, Timestamp now) const;
    void tick(Timestamp now);

private:
    enum class KeyKind { Own, Foreign, CallerMade, Expired, Invalid };
    struct Identity {
        KeyKind kind = KeyKind::Invalid;
        HostId issuer;
        Incarnation incarnation;
        Timestamp expiry;
    };

    [[nodiscard]] Identity identifyKey(const Exchange& exchange, Timestamp now) const;
    void beginWithoutRecord(Exchange& exchange, Timestamp now);
    void startAtHolder(Exchange& exchange, const HostId& holder, Incarnation incarnation, Timestamp now);
    void resolveRecord(Exchange& exchange, Timestamp now);
    [[nodiscard]] KeyRecord* addRecord(const Exchange& exchange, uint64_t fingerprint, Timestamp now);
    void continueWithRecord(Exchange& exchange, KeyRecord& record, Timestamp now);
    void run(Exchange& exchange, KeyRecord& record, Timestamp now);
    void replay(Exchange& exchange, const KeyRecord& record, Timestamp now);
    void refuseAsUnknown(Exchange& exchange, model::Reason reason, Timestamp now);
    void notifyWaiters(
        std::vector<ExchangeId> waiters, const KeyName& key, const Completion& completion, Timestamp now);
    void rerun(std::vector<ExchangeId> waiters, const KeyName& key, Timestamp now);
    void applyGrant(KeyRecord& record, Timestamp now);
    void forwardToHolder(KeyRecord& record, const model::ClaimReply& reply, Timestamp now);
    void refuseAll(KeyRecord& record, const Completion& completion, Timestamp now);
    [[nodiscard]] std::vector<ExchangeId> detachExchanges(KeyRecord& record);

    EntryContext& context_;
    KeyClaims claims_;
};

} // namespace saltvane::requests
