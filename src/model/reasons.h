/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <array>
#include <string_view>

namespace saltvane::model {

/// What the caller is told about its request (docs/REQUESTS.md).
enum class Outcome {
    Answered, ///< The whole answer of the target.
    NotRun, ///< No byte of it can have reached a target, or the target shed it.
    Unknown
}; ///< Anything else.

/// Why a request was refused, retried or left unknown. Each has a counter.
enum class Reason {
    None,
    NotReady, ///< The host holds no current state.
    Stopping, ///< The host is in its planned stop.
    UnknownService,
    BadRequest,
    MissingKey, ///< A non-repeatable request without Idempotency-Key.
    KeyConflict, ///< Same key, other fingerprint.
    KeyExpired,
    KeyInUse, ///< The first run's answer is not kept; never run again.
    MinterGone,
    NoQuorum, ///< The key could not be claimed in the replicated log.
    DeadlineExceeded,
    NoRoom, ///< No open zone has room.
    ShiftCapReached, ///< Room elsewhere, but the cap allows no more movement now.
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
    StaleState, ///< An older incarnation or bundle position; of a gateway: the registry's word comes late.
    RequestQuarantined, ///< Targets ended that ran this very request.
    UnknownKey, ///< No client account holds the key, or the request carries none.
    RateLimited, ///< Its client account's limit is used up.
    LimitUnknown, ///< No registry host tells what is left of its client account's limit.
    BackPressure, ///< The targets that might run it take no more for now, by their own word.
    Count
};

[[nodiscard]] std::string_view toString(Reason reason); ///< As in Saltvane-Reason: "no-room".
[[nodiscard]] std::string_view toString(Outcome outcome); ///< "answered", "not-run", "unknown".
/// HTTP status a refusal or unknown of this reason is answered with (RFC 9110).
[[nodiscard]] int httpStatus(Outcome outcome, Reason reason);

} // namespace saltvane::model
