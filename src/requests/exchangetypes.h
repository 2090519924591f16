/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/sharedbytes.h"
#include "base/timetypes.h"
#include "model/message.h"
#include "model/requestmessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events and actions of the HTTP exchanges of a request: one with the caller, one with each target.
namespace saltvane::requests {

/// Identifies an HTTP exchange with a caller; unique on this host.
using HttpHandle = Number<struct HttpHandleTag>;
/// The listener that accepted the exchange, as an index into the host's HTTP servers.
[[nodiscard]] inline uint8_t listenerOf(HttpHandle handle)
{
    constexpr int ListenerShift = 56;
    return static_cast<uint8_t>(handle.value >> ListenerShift);
}
/// The first handle of a listener; further handles count up from it.
[[nodiscard]] inline HttpHandle firstHandleOf(uint8_t listener)
{
    constexpr int ListenerShift = 56;
    return {static_cast<uint64_t>(listener) << ListenerShift};
}

/// Identifies an HTTP exchange with a target; unique on this host.
using DispatchId = Number<struct DispatchIdTag>;

/// Bytes of a body that may be sent before the receiver acknowledges any (back-pressure).
inline constexpr uint64_t InitialBodyWindow = 256 * 1024;

// Events of a caller's exchange. The HTTP adapter has checked the framing (RFC 9112) and enforced the size limits.
struct HttpRequestStarted {
    HttpHandle handle;
    std::string method;
    std::string path; ///< Request target including the query, as sent.
    std::vector<model::Header> headers;
    std::optional<uint64_t> bodyLength; ///< 0: no body. No value: chunked.
    std::string remoteAddress; ///< IP address without port.
};
struct HttpRequestBody {
    HttpHandle handle;
    std::string bytes;
    /// Set once for each request with a body, on an empty event if the end arrives after the last bytes.
    bool isLast = false;
};
/// The caller disconnected before the response was sent completely. No action for the handle may follow.
struct HttpRequestAborted {
    HttpHandle handle;
};
/// This number of bytes of the response body was written to the caller's socket.
struct HttpResponseProgress {
    HttpHandle handle;
    uint64_t bytes = 0;
};
/// The response was sent completely; the handle is no longer valid.
struct HttpResponseDone {
    HttpHandle handle;
};
using HttpEvent
    = std::variant<HttpRequestStarted, HttpRequestBody, HttpRequestAborted, HttpResponseProgress, HttpResponseDone>;

// Actions on a caller's exchange.
struct HttpRespond {
    HttpHandle handle;
    int status = 200;
    std::vector<model::Header> headers;
    std::optional<uint64_t> bodyLength; ///< No value: chunked.
    std::string bytes; ///< First bytes of the body.
    bool isLast = true;
};
struct HttpResponseBody {
    HttpHandle handle;
    std::string bytes;
    bool isLast = false;
};
/// Closes the connection before the end of the body, so that the caller detects the failure.
struct HttpAbort {
    HttpHandle handle;
};
/// Lets the caller send this number of bytes of the request body beyond what was allowed before; InitialBodyWindow is
/// allowed from the start.
struct HttpRequestWindow {
    HttpHandle handle;
    uint64_t bytes = 0;
};

/// The connection to a target on which a request was sent.
struct ConnectionUse {
    int localPort = 0; ///< 0: the request was not sent.
    uint32_t earlierRequests = 0; ///< That the connection had carried before.
};

// Events of a target's exchange.
struct TargetResponseHead {
    DispatchId dispatch;
    int status = 0;
    std::vector<model::Header> headers;
    std::optional<uint64_t> bodyLength;
    bool isNewConnection = false; ///< The connection was established for this request.
    ConnectionUse connection {};
    /// The target sent bytes on a kept connection on which no request waited for them.
    bool hasSurplus = false;
};
struct TargetResponseBody {
    DispatchId dispatch;
    std::string bytes;
};
/// The response was received completely; its length or final chunk was checked. The dispatch is no longer valid.
struct TargetResponseDone {
    DispatchId dispatch;
};
/// This number of bytes of the request body was written to the target's socket.
struct TargetRequestProgress {
    DispatchId dispatch;
    uint64_t bytes = 0;
};
/// The exchange failed; the dispatch is no longer valid.
struct TargetFailed {
    DispatchId dispatch;
    bool mayHaveReachedTarget = true; ///< False only if it is certain that no byte was sent.
    std::string message;
    ConnectionUse connection {};
    bool hasSurplus = false; ///< As in TargetResponseHead.
    /// The target refused the connection: no process listens at the address. With mayHaveReachedTarget: an open
    /// connection broke and the new connection was refused.
    bool isRefused = false;
    /// Why the request was withheld: it was checked again right before its first byte and must not be sent any more.
    /// None: it was not withheld.
    model::Reason withheldFor = model::Reason::None;
};
using TargetEvent
    = std::variant<TargetResponseHead, TargetResponseBody, TargetResponseDone, TargetRequestProgress, TargetFailed>;

// Actions on a target's exchange.
struct TargetStart {
    DispatchId dispatch;
    TargetId target;
    model::Address address;
    std::string method;
    std::string path;
    std::vector<model::Header> headers;
    std::optional<uint64_t> bodyLength;
    bool isRepeatable = false; ///< If false, the adapter uses a connection that carried no request before.
    /// If positive, only connections that have been idle for at most this time are reused, whether the request is
    /// repeatable or not.
    Duration maxReuseIdleTime {};
    /// Opens a new connection: existing ones may belong to a target that had the address before. The new connection may
    /// be reused later.
    bool needsNewConnection = false;
    /// Uses a connection that carries no other request, neither before nor after this one.
    bool needsExclusiveConnection = false;
    /// Request header that the target echoes in its response. Another value, or none on a connection that has carried
    /// another request, means that the response belongs to another request; the connection is then closed. Empty, or
    /// without a value in the request: the response does not name its request, which gets an exclusive connection.
    std::string echoedHeader {};
    /// Name of the header that tells the target the time left; empty: none. Its value is replaced by the time until
    /// `deadline` when the first byte is sent.
    std::string deadlineHeader {};
    Timestamp deadline {};
    /// The exchange on this host whose caller waits for the response. 0: none, as for a probe.
    HttpHandle caller {};
};
struct TargetRequestBody {
    DispatchId dispatch;
    SharedBytes bytes; ///< Other dispatches of the request may share them.
    bool isLast = false;
};
struct TargetResponseWindow {
    DispatchId dispatch;
    uint64_t bytes = 0;
};
/// Aborts the exchange; no event for the dispatch follows.
struct TargetCancel {
    DispatchId dispatch;
};

/// One line of the access log; each host that handles the request writes one.
struct AccessRecord {
    RequestId request;
    ServiceName service;
    std::string method;
    RegionName clientRegion;
    ZoneName zone; ///< The zone that was chosen last.
    HostId owner;
    TargetId target;
    uint32_t tries = 0;
    model::Outcome outcome = model::Outcome::Unknown;
    model::Reason reason = model::Reason::None;
    int status = 0;
    Duration total {};
    bool isOwnerSide = false;
};

using Action = std::variant<HttpRespond, HttpResponseBody, HttpAbort, HttpRequestWindow, TargetStart, TargetRequestBody,
    TargetResponseWindow, TargetCancel, model::OutgoingMessage, AccessRecord>;

} // namespace saltvane::requests
