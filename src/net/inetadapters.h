/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "control/controltypes.h"
#include "host/hosttypes.h"
#include "host/ihostcore.h"
#include "model/counters.h"
#include "settings/hostsettings.h"

#include <ev.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Adapters between a host's core and libev, sockets and the disk. They pass events to a sink and execute the core's
/// actions; all decisions are made by the core.
namespace saltvane::net {

/// Receives the events of the adapters.
using EventSink = std::function<void(host::Event)>;

/// HTTP server for callers, targets and operators (libmicrohttpd driven by the event loop). Streamed responses report
/// HttpResponseProgress; a response that is complete in HttpRespond reports only HttpResponseDone. A caller that closes
/// its sending side is treated as disconnected. Trailers of requests are discarded.
class IHttpServer {
public:
    virtual ~IHttpServer() = default;
    virtual void execute(requests::HttpRespond action) = 0;
    virtual void execute(requests::HttpResponseBody action) = 0;
    virtual void execute(const requests::HttpAbort& action) = 0;
    virtual void execute(const requests::HttpRequestWindow& action) = 0;
    /// Applies new limits at once, also to open connections. The core limits bodies.
    virtual void setCallerLimits(const model::CallerLimits& limits) = 0;
    /// Whether the exchange's caller still waits for a response. Reads the socket itself: the event of a disconnect may
    /// not have been delivered yet.
    [[nodiscard]] virtual bool isCallerConnected(requests::HttpHandle handle) const = 0;
    /// Accepts no new connections; open ones continue.
    virtual void stopAccepting() = 0;
    /// Begins to end the service: accepts the connections that wait and then no more, still reads and answers requests
    /// that have arrived, and closes the connections on which none has.
    virtual void startShutdown() = 0;
    /// After startShutdown(), before the last turns of the loop: refuses what has arrived and was not read.
    virtual void endShutdown() = 0;
    /// After startShutdown(): whether all connections have ended.
    [[nodiscard]] virtual bool isShutDown() const = 0;
    [[nodiscard]] virtual size_t openConnections() const = 0;
    /// The address that the server listens on; its port differs from the options' if that is 0.
    [[nodiscard]] virtual model::Address boundAddress() const = 0;
};
/// Bounds on what a caller's connection takes up while it sends its body too slowly, sends on after its response, or
/// does not read. The time limits of a request's head are in settings::Limits.
struct CallerPaceLimits {
    /// Body bytes that are read and discarded after the response, so that a caller that sends its whole body before it
    /// reads still gets the response: the largest body that a route plan allows by default.
    uint64_t discardedBytes = 64ull * 1024 * 1024;
    Duration discardTime = 30s;
    /// After that the response is sent although the body has not ended, and bytes are discarded for this long before
    /// the connection is closed: bytes in flight would reset it, and the caller could lose the response.
    Duration lingerTime = 2s;
    /// Mean rate that a request body must reach over bodyRateWindow; a body without any progress for
    /// Limits::idleTimeout ends too. Time in which the core withholds the window does not count.
    uint64_t minBodyBytesPerSecond = 512;
    Duration bodyRateWindow = 60s;
    Duration responseStallTime = 60s; ///< Without a byte of the response acknowledged by the caller's host.
    /// A connection that made no progress for this long may be closed for a new one at Limits::connections. Fewer body
    /// bytes than minBodyBytesPerSecond count as none.
    Duration minStandstill = 1s;
};

struct HttpServerOptions {
    struct ev_loop* loop = nullptr;
    model::Address address;
    settings::Limits limits;
    CallerPaceLimits paceLimits {};
    /// The core starts no request before its body is complete, so that one whose body ends early was not run.
    bool isBodyTakenWhole = false;
    EventSink sink;
    model::Counters* counters = nullptr;
    uint8_t listener = 0; ///< Part of each exchange's handle (requests::listenerOf).
    int sendBufferBytes = 0; ///< SO_SNDBUF of each connection, in bytes; 0: the system's default.
    bool isMetricsServed = true; ///< False: GET /metrics is passed to the core as any other request.
    /// Body of the response to GET /metrics, which the server sends without the core.
    std::function<std::string()> metricsText;
};
[[nodiscard]] Result<std::unique_ptr<IHttpServer>, IoError> makeHttpServer(HttpServerOptions options);
/// Connections that a server with this Limits::connections accepts, with those that it accepts to refuse them.
[[nodiscard]] uint32_t acceptedConnections(uint32_t limit);
/// Memory that a connection may use for a request head of at most `headerBytes` and for its buffers.
[[nodiscard]] uint64_t connectionPoolBytes(uint64_t headerBytes);

/// HTTP client for targets (libcurl multi driven by the event loop). Never retries a request on its own.
class ITargetClient {
public:
    virtual ~ITargetClient() = default;
    virtual void execute(requests::TargetStart action) = 0;
    virtual void execute(requests::TargetRequestBody action) = 0;
    virtual void execute(const requests::TargetResponseWindow& action) = 0;
    virtual void execute(const requests::TargetCancel& action) = 0;
};
struct TargetClientOptions {
    struct ev_loop* loop = nullptr;
    EventSink sink;
    Duration connectTimeout = 1s;
    int receiveBufferBytes = 0; ///< SO_RCVBUF of each connection, in bytes; 0: the system's default.
    /// Called right before the first byte of a request is sent, which may be long after its TargetStart. Returns why
    /// the request must not be sent any more, or None. Must not call back into the client.
    std::function<model::Reason(const requests::TargetStart&)> recheck {};
    model::Counters* counters = nullptr;
};
[[nodiscard]] Result<std::unique_ptr<ITargetClient>, IoError> makeTargetClient(TargetClientOptions options);

/// Bytes queued for peers that have not received them yet.
struct LinkBacklog {
    uint64_t bytes = 0; ///< Over all links.
    uint64_t memory = 0; ///< Bytes allocated by the buffers of all links.
    uint64_t largestBytes = 0; ///< Of the link with the most queued bytes.
    HostId largestPeer;
};

/// Authenticated TCP links to other hosts (docs/PROTOCOL.md). Reconnects to desired peers with backoff.
class ILinkHub {
public:
    virtual ~ILinkHub() = default;
    virtual void execute(const host::DesiredLinks& action) = 0;
    virtual void send(const model::OutgoingMessage& outgoing) = 0;
    [[nodiscard]] virtual LinkBacklog backlog() const = 0;
    /// The address that the hub listens on; its port differs from the options' if that is 0.
    [[nodiscard]] virtual model::Address boundAddress() const = 0;
};
struct LinkHubOptions {
    struct ev_loop* loop = nullptr;
    HostId self;
    Incarnation incarnation;
    std::string deployment;
    std::string linkKey;
    model::Address listenAddress;
    EventSink sink;
    model::Counters* counters = nullptr;
    size_t maxSendQueueBytes = 8 * 1024 * 1024; ///< Of one link; a peer whose queue grows beyond it is disconnected.
    /// Limit on the memory of all links' buffers together; beyond it the peer with the longest queue is disconnected.
    /// Without it, 80 links that each use up maxSendQueueBytes would exhaust the memory of the process and so cut off
    /// all other peers as well.
    size_t maxBacklogBytes = 64 * 1024 * 1024;
};
[[nodiscard]] Result<std::unique_ptr<ILinkHub>, IoError> makeLinkHub(LinkHubOptions options);

/// The data folder of a control host (docs/STORAGE.md): lock, segments, snapshot, hard state; all synced.
class IDataFolder {
public:
    virtual ~IDataFolder() = default;
    /// The state read from the folder when it was opened.
    [[nodiscard]] virtual const control::RecoveredState& recovered() const = 0;
    /// Warnings from opening the folder, such as a truncated incomplete write.
    [[nodiscard]] virtual const std::vector<std::string>& warnings() const = 0;
    /// Number of process starts on this folder, including the current one.
    [[nodiscard]] virtual uint64_t startCount() const = 0;
    /// Writes and syncs; the write is durable if the result is a success. After an error it can be retried.
    [[nodiscard]] virtual Result<Success, IoError> write(const control::StorageWrite& write) = 0;
    /// The soft state that was found on opening; empty if there was none or it was unreadable.
    [[nodiscard]] virtual const host::SoftState& softState() const = 0;
    /// Replaces the soft state atomically and syncs it. After an error the previous one is still valid.
    [[nodiscard]] virtual Result<Success, IoError> writeSoftState(const host::SoftState& state) = 0;
};
/// Fails if the folder is in use by another process, has another format version, or is corrupted anywhere but in the
/// last record.
[[nodiscard]] Result<std::unique_ptr<IDataFolder>, IoError> openDataFolder(const std::string& path);

} // namespace saltvane::net
