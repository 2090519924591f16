/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/exchangetypes.h"
#include "requests/internal/keytable.h"
#include "requests/internal/requestbody.h"
#include "requests/internal/responsestream.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace saltvane::requests {

/// The caller is connected to this host.
struct HttpOrigin {
    HttpHandle handle;
};
/// The caller is connected to another entry host, which forwarded the request here because this host issued its key.
struct ForwardedOrigin {
    HostId host;
    Incarnation incarnation;
    CorrelationId correlation;
};
/// The caller disconnected; the run continues on behalf of its key.
struct DisconnectedOrigin { };
using Origin = std::variant<HttpOrigin, ForwardedOrigin, DisconnectedOrigin>;

enum class Phase {
    Buffering, ///< Receives the body that the fingerprint is computed from.
    Claiming, ///< Waits until the claim of its key is in the replicated log.
    WaitingForRun, ///< A resend that waits for the run of its key to end.
    WaitingForCredit,
    Forwarding, ///< Forwarded to an owner or to the issuer of its key.
    WaitingForIssuer, ///< The link to the issuer broke; the request is forwarded to it again after a delay.
    Finalized ///< The outcome is final; bytes of the response may still be in transmission.
};

/// Result of an exchange or of an attempt.
struct Completion {
    model::Outcome outcome = model::Outcome::Unknown;
    model::Reason reason = model::Reason::None;
    Duration retryAfter {};
    std::string field; ///< Name of the invalid header.
};

/// One attempt: the request forwarded to an owner or to the issuer of its key.
struct Attempt {
    CorrelationId correlation;
    model::ForwardPurpose purpose = model::ForwardPurpose::Dispatch;
    HostId host;
    /// Incarnation of the peer. If not known at the start, it is taken from the peer's first frame.
    std::optional<Incarnation> incarnation;
    bool holdsCredit = false;
    uint64_t bodyBytesSent = 0;
    uint64_t bodySendLimit = InitialBodyWindow; ///< Body offset up to which the peer's window allows sending.
    uint64_t bodyBytesAcknowledged = 0;
    bool isLastSent = false;
    uint64_t responseBytesAcknowledged = 0; ///< Bytes of the response acknowledged to the peer.
    ResponseStream response {0};
};

/// State of one request at this host.
struct Exchange {
    ExchangeId id;
    Origin origin;
    Phase phase = Phase::Buffering;
    RequestId request;
    ServiceName service;
    RegionName clientRegion;
    std::string method;
    std::string path;
    std::vector<model::Header> headers; ///< Headers that are forwarded to the target.
    RequestBody body {0};
    Timestamp arrival;
    Timestamp deadline;
    bool isRepeatable = false;
    std::string idempotencyKey;

    bool isRunner = false; ///< This request is the one that runs its key; the key's record is in state Running.
    std::optional<Timestamp> creditWaitDeadline; ///< Set when the request starts waiting for credit.
    std::optional<Attempt> attempt;
    Incarnation issuerIncarnation; ///< Set if another host issued the key.
    uint32_t attempts = 0;
    std::vector<HostId> excludedOwners;
    std::vector<TargetId> excludedTargets;
    /// Result of the last failed attempt. An unknown outcome isn't overwritten by later attempts.
    std::optional<Completion> lastFailure;
    bool mayHaveRun = false; ///< An attempt ended with outcome unknown.
    bool hasReachedZoneChoice = false; ///< The request got as far as the choice of a zone.
    /// Zone that the route row chose first. Stored by name because a new bundle may change the indices.
    ZoneName rowZone;

    bool isHeadSent = false;
    /// The HTTP server has sent the whole response, of known length, before the owner reported its end.
    bool isResponseDelivered = false;
    uint64_t responseBytesSent = 0; ///< Bytes of the response body sent to the caller.
    int status = 0; ///< HTTP status sent to the caller.

    // For the access log; `tries` counts the dispatches that may have reached a target.
    ZoneName zone;
    HostId owner;
    TargetId target;
    uint32_t tries = 0;

    [[nodiscard]] bool isKeyed() const { return !isRepeatable && !idempotencyKey.empty(); }
    [[nodiscard]] bool isCallerDisconnected() const { return std::holds_alternative<DisconnectedOrigin>(origin); }
    [[nodiscard]] KeyName keyName() const { return {.service = service, .key = idempotencyKey}; }
};

} // namespace saltvane::requests
