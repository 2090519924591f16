/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "model/message.h"
#include "model/requestmessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events and actions at the edges of a request: the caller's HTTP exchange, the target's HTTP exchange.
namespace saltvane::requests {

/// One HTTP exchange with a caller, on this host.
using HttpHandle = Number<struct HttpHandleTag>;
/// Which of a host's listening addresses an exchange came in at, by the order of its servers.
[[nodiscard]] inline uint8_t listenerOf(HttpHandle handle)
{
    constexpr int ListenerShift = 56;
    return static_cast<uint8_t>(handle.value >> ListenerShift);
}
/// The number that handles of a listener count up from.
[[nodiscard]] inline HttpHandle firstHandleOf(uint8_t listener)
{
    constexpr int ListenerShift = 56;
    return {static_cast<uint64_t>(listener) << ListenerShift};
}

/// One HTTP exchange with a target, on this host.
using DispatchId = Number<struct DispatchIdTag>;

/// Bytes of a body that may be under way before the receiver passed any on (back pressure).
inline constexpr uint64_t InitialBodyWindow = 256 * 1024;

// Events of a caller's exchange. The adapter has checked the framing of RFC 9112 and enforced size limits.
struct HttpRequestStarted {
    HttpHandle handle;
    std::string method;
    std::string path; ///< With the query, as sent.
    std::vector<model::Header> headers;
    std::optional<uint64_t> bodyLength; ///< 0: none. No value: chunked.
    std::string remoteAddress; ///< IP only.
};
struct HttpRequestBody {
    HttpHandle handle;
    std::string bytes;
    bool isLast = false; ///< Sent for each request with a body; alone (empty) where the end came late.
};
/// The caller went away before the answer was out. No action for the handle may follow.
struct HttpRequestAborted {
    HttpHandle handle;
};
/// So many bytes of the answer's body were handed to the socket.
struct HttpResponseProgress {
    HttpHandle handle;
    uint64_t bytes = 0;
};
/// The answer is out whole; the handle is void.
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
    std::string bytes; ///< First part of the body.
    bool isLast = true;
};
struct HttpResponseBody {
    HttpHandle handle;
    std::string bytes;
    bool isLast = false;
};
/// Breaks the exchange so that the caller sees it (connection closed before the body's end).
struct HttpAbort {
    HttpHandle handle;
};
/// The request's body may go on by so many bytes beyond InitialBodyWindow.
struct HttpRequestWindow {
    HttpHandle handle;
    uint64_t bytes = 0;
};

// Events of a target's exchange.
struct TargetResponseHead {
    DispatchId dispatch;
    int status = 0;
    std::vector<model::Header> headers;
    std::optional<uint64_t> bodyLength;
};
struct TargetResponseBody {
    DispatchId dispatch;
    std::string bytes;
};
/// The whole answer is in: its length or final chunk was checked. The dispatch is void.
struct TargetResponseDone {
    DispatchId dispatch;
};
/// So many bytes of the request's body were taken by the target's socket.
struct TargetRequestProgress {
    DispatchId dispatch;
    uint64_t bytes = 0;
};
/// The exchange failed; the dispatch is void.
struct TargetFailed {
    DispatchId dispatch;
    bool mayHaveReachedTarget = true; ///< False only when provably no byte was sent.
    std::string message;
    /// Nothing listens at the address: the target is gone. Together with mayHaveReachedTarget: a connection that it had
    /// open broke, and a new one was refused.
    bool isRefused = false;
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
    bool isRepeatable = false; ///< Otherwise the adapter uses a connection that no request used before.
    /// Over 0: whether repeatable or not, only connections that rested no longer are used again.
    Duration reuseIdleLimit {};
    /// No connection of before is used: those at the address may be another target's. It may be used again later.
    bool needsNewConnection = false;
    /// A header of the request that its answer carries back; another value there is the answer of another request, and
    /// its connection is closed. Empty: not checked.
    std::string echoedHeader {};
};
struct TargetRequestBody {
    DispatchId dispatch;
    std::string bytes;
    bool isLast = false;
};
struct TargetResponseWindow {
    DispatchId dispatch;
    uint64_t bytes = 0;
};
/// Ends the exchange at once; no event for the dispatch follows.
struct TargetCancel {
    DispatchId dispatch;
};

/// One line of the access log, once per request and host.
struct AccessRecord {
    RequestId request;
    ServiceName service;
    std::string method;
    RegionName clientRegion;
    ZoneName zone; ///< Of the last choice.
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
    TargetResponseWindow, TargetCancel, model::Outgoing, AccessRecord>;

} // namespace saltvane::requests
