/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace saltvane::model {

/// The result of a request as reported to the caller (docs/REQUESTS.md).
enum class Outcome {
    Answered, ///< The caller got the complete response of a target.
    NotRun, ///< No byte of the request can have reached a target, or the target shed it.
    /// Anything else.
    Unknown
};

/// Why a request was refused or retried, or why its outcome is unknown. Each reason has a counter.
enum class Reason {
    None,
    NotReady, ///< The host has no current state.
    Stopping, ///< The host is in its planned stop.
    UnknownService,
    BadRequest,
    MissingKey, ///< A non-repeatable request without Idempotency-Key.
    KeyConflict, ///< The key was used with a different fingerprint.
    KeyExpired,
    KeyInUse, ///< The answer to the first run is not stored, and the request must not run again.
    MinterGone, ///< The host incarnation that issued the key has ended.
    NoQuorum, ///< The key could not be claimed in the replicated log.
    DeadlineExceeded,
    NoRoom, ///< No open zone has headroom.
    ShiftCapReached, ///< Other zones have headroom, but the shift cap allows no further shift now.
    LinkLimitReached,
    ZoneClosed, ///< The bundle opens no zone for the service.
    QueueFull,
    QueueTimeout,
    NoTarget, ///< The owner has no target left for the service.
    ConnectFailed,
    TargetShed,
    TargetFailed,
    TargetStalled,
    PeerLost, ///< The link to the owner broke.
    ClientGone,
    BodyTooLarge,
    HeadersTooLarge,
    TooManyConnections,
    StopTimeLimit,
    RetryBudgetSpent,
    /// An older incarnation or bundle position; at a gateway: its information from the registry is outdated.
    StaleState,
    RequestQuarantined, ///< Targets that ran this request ended.
    UnknownKey, ///< The key belongs to no client account, or the request has no key.
    RateLimited, ///< The limit of the client account is exhausted.
    LimitUnknown, ///< No registry host reports how much of the client account's limit is left.
    BackPressure, ///< The targets that could run the request report that they accept no more for now.
    NoMemory, ///< The memory for bodies of requests is used up.
    BodyTimeout, ///< The request's body arrived too slowly.
    Count
};

[[nodiscard]] std::string_view toString(Reason reason); ///< As in the header Saltvane-Reason, for example "no-room".
/// Inverse of toString(); no value for other texts.
[[nodiscard]] std::optional<Reason> reasonFrom(std::string_view text);
[[nodiscard]] std::string_view toString(Outcome outcome); ///< "answered", "not-run", "unknown".
/// HTTP status of the response to a request with this outcome and reason (RFC 9110).
[[nodiscard]] int httpStatus(Outcome outcome, Reason reason);

} // namespace saltvane::model
