/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/entrycontext.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace saltvane::requests {

/// Forwards requests to owners and issuers: chooses the zone, uses a credit, sends the body, retries.
class Forwarder {
public:
    explicit Forwarder(EntryContext& context);

    /// Chooses a zone and forwards the request. Without credit, the request waits or is refused.
    void start(Exchange& exchange, Timestamp now);
    /// Forwards the request to the issuer of its key.
    void startAtIssuer(Exchange& exchange, const HostId& issuer, Incarnation incarnation, Timestamp now);
    /// Sends as much of the received body as the peer's window allows.
    void pumpBody(Exchange& exchange);
    /// The peer acknowledged this number of bytes of the body.
    void extendWindow(Exchange& exchange, uint64_t bytes);
    /// The attempt ended without a complete response: retries, or ends the exchange.
    void onAttemptFailed(Exchange& exchange, const Completion& completion, Timestamp now);
    /// Cancels the attempt at the peer; its outcome is unknown.
    void cancel(Exchange& exchange, model::Reason reason, Timestamp now);
    /// Cancels the attempt at the peer. Further frames of the attempt are ignored.
    void sendCancel(const Exchange& exchange, model::Reason reason, Timestamp now);
    /// Removes the attempt from the index and returns its credit; called exactly once for each attempt.
    void endAttempt(Exchange& exchange, Timestamp now);
    /// Handles the peer's report on a cancelled attempt: if the attempt did not run, its key may run again. Returns
    /// false if the correlation id isn't that of a cancelled attempt.
    [[nodiscard]] bool handleCancelledEnd(const HostId& from, const model::ForwardEnd& end);
    void onHostLost(const HostId& host);
    /// Retries the requests that wait for credit; refuses those whose wait has expired.
    void serveWaiting(Timestamp now, bool isTick);
    void tick(Timestamp now);

private:
    struct CancelledAttempt {
        HostId host;
        std::optional<KeyName> key; ///< Key of the cancelled run.
        Timestamp expiresAt;
    };
    struct Placement {
        ZoneIndex zone;
        HostId owner;
    };

    /// Chooses a zone and uses a credit of it. Returns no value and sets `refusal` if there is no credit.
    [[nodiscard]] std::optional<Placement> choose(Exchange& exchange, steering::Refusal& refusal, Timestamp now);
    void requestCredits(const Exchange& exchange, Timestamp now);
    void waitOrRefuse(Exchange& exchange, const steering::Refusal& refusal, Timestamp now);
    void refuseWithoutOwner(Exchange& exchange, const steering::Refusal& refusal, Timestamp now);
    void send(Exchange& exchange, Attempt attempt, Timestamp now);
    void onIssuerFailed(Exchange& exchange, const Completion& completion, Timestamp now);
    void retryIssuers(Timestamp now);
    /// True if the deadline, the number of attempts and the retained body allow forwarding the request again.
    [[nodiscard]] bool isSendable(const Exchange& exchange, Timestamp now) const;
    [[nodiscard]] bool canRetry(const Exchange& exchange, const Completion& completion, Timestamp now) const;
    [[nodiscard]] uint64_t retainLimit(const Exchange& exchange) const;

    EntryContext& context_;
    uint64_t lastCorrelation_;
    std::map<CorrelationId, CancelledAttempt> cancelled_;
    std::set<std::pair<Timestamp, ExchangeId>> issuerRetries_;
};

} // namespace saltvane::requests
