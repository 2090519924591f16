/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "model/reasons.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages that forward a request from an entry host to the owner of a target, or to the host that issued its
/// idempotency key.
namespace saltvane::model {

struct Header {
    std::string name;
    std::string value;
    auto operator<=>(const Header&) const = default;
};

/// Compares header field names case-insensitively (RFC 9110, 5.1).
[[nodiscard]] bool isSameFieldName(std::string_view left, std::string_view right);

/// What the receiver does with a forwarded request.
enum class ForwardPurpose {
    Dispatch, ///< To an owner: run it on one of its targets.
    /// To the host that issued the request's key: handle it as if the caller had sent it to that host.
    Mint
};

struct ForwardRequest {
    CorrelationId correlation;
    ForwardPurpose purpose = ForwardPurpose::Dispatch;
    RequestId request;
    ServiceName service;
    RegionName clientRegion;
    std::string method;
    std::string path; ///< Including the query.
    std::vector<Header> headers; ///< End-to-end headers only (RFC 9110, 7.6.1).
    std::optional<uint64_t> bodyLength; ///< Not set: length unknown (chunked). 0: no ForwardBody follows.
    Duration deadline {}; ///< Time left when the message is sent.
    bool isRepeatable = false;
    std::string idempotencyKey;
    std::vector<TargetId> excludedTargets; ///< Already attempted.
};

enum class Direction { ToTarget, ToClient };

struct ForwardBody {
    CorrelationId correlation;
    Direction direction = Direction::ToTarget;
    uint64_t offset = 0; ///< A gap or overlap makes the body invalid.
    std::string bytes;
    bool isLast = false;
};

/// Flow control: the receiver of a body has passed on this many more bytes.
struct ForwardWindow {
    CorrelationId correlation;
    Direction direction = Direction::ToTarget;
    uint64_t bytes = 0;
};

struct ForwardResponseHead {
    CorrelationId correlation;
    int status = 0;
    std::vector<Header> headers;
    std::optional<uint64_t> bodyLength;
    TargetId target;
};

/// Completes a forwarded request and invalidates its correlation id. With Outcome::Answered it follows the last
/// ForwardBody.
struct ForwardEnd {
    CorrelationId correlation;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    Duration retryAfter {};
    TargetId target; ///< Empty if the request was sent to no target.
    uint32_t tries = 0; ///< Number of targets that at least one byte was sent to.
};

/// Sent by the entry host when the client has disconnected or the deadline has passed.
struct ForwardCancel {
    CorrelationId correlation;
    Reason reason = Reason::ClientGone;
};

/// Claims an idempotency key chosen by the caller in the replicated log, before dispatch.
struct ClaimRequest {
    uint64_t claim = 0; ///< Matches the reply to the request; a resend uses the same number.
    ServiceName service;
    std::string key;
    uint64_t fingerprint = 0;
    Duration retention {};
};

enum class ClaimResult {
    Granted,
    HeldElsewhere, ///< `holder` is the host that runs or ran the request.
    OtherFingerprint,
    NoQuorum
};

struct ClaimReply {
    uint64_t claim = 0;
    ClaimResult result = ClaimResult::NoQuorum;
    HostId holder;
    Incarnation holderIncarnation;
};

} // namespace saltvane::model
