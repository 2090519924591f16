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

/// Adapters that bind a host's core to libev, sockets and the disk. Each hands events to a sink and carries out the
/// core's actions; none decides anything.
namespace saltvane::net {

/// Where adapters hand their events.
using EventSink = std::function<void(host::Event)>;

/// HTTP towards callers, targets and operators (libmicrohttpd driven by the loop). HttpResponseProgress is told for
/// answers given in parts; one given whole in HttpRespond has only HttpResponseDone. A caller that closes its sending
/// side counts as gone. Trailers of requests are dropped.
class IHttpServer {
public:
    virtual ~IHttpServer() = default;
    virtual void carryOut(requests::HttpRespond action) = 0;
    virtual void carryOut(requests::HttpResponseBody action) = 0;
    virtual void carryOut(const requests::HttpAbort& action) = 0;
    virtual void carryOut(const requests::HttpRequestWindow& action) = 0;
    /// Holds callers to other limits from now on, those on open connections too. Bodies are limited by the core.
    virtual void setCallerLimits(const model::CallerLimits& limits) = 0;
    /// Accepts no more connections; open ones go on.
    virtual void stopAccepting() = 0;
    [[nodiscard]] virtual size_t openConnections() const = 0;
    /// Where it listens; differs from the options where they name port 0.
    [[nodiscard]] virtual model::Address boundAddress() const = 0;
};
struct HttpServerOptions {
    struct ev_loop* loop = nullptr;
    model::Address address;
    settings::Limits limits;
    EventSink sink;
    model::Counters* counters = nullptr;
    uint8_t listener = 0; ///< Marks the exchanges' handles (requests::listenerOf).
    int sendBuffer = 0; ///< Bytes of a connection that may wait in the system; 0: the system's choice.
    bool isMetricsServed = true; ///< False: GET /metrics is a request like any other.
    /// Answers GET /metrics at the edge, so that the core needs no text format.
    std::function<std::string()> metricsText;
};
[[nodiscard]] Result<std::unique_ptr<IHttpServer>, IoError> makeHttpServer(HttpServerOptions options);

/// HTTP towards targets (libcurl multi driven by the loop). Never repeats a request by itself.
class ITargetClient {
public:
    virtual ~ITargetClient() = default;
    virtual void carryOut(requests::TargetStart action) = 0;
    virtual void carryOut(requests::TargetRequestBody action) = 0;
    virtual void carryOut(const requests::TargetResponseWindow& action) = 0;
    virtual void carryOut(const requests::TargetCancel& action) = 0;
};
struct TargetClientOptions {
    struct ev_loop* loop = nullptr;
    EventSink sink;
    Duration connectTimeout = 1s;
    int receiveBuffer = 0; ///< Bytes of a connection that a target may send ahead; 0: the system's choice.
};
[[nodiscard]] Result<std::unique_ptr<ITargetClient>, IoError> makeTargetClient(TargetClientOptions options);

/// Bytes that wait for peers to take them.
struct LinkBacklog {
    uint64_t bytes = 0; ///< Over all links.
    uint64_t memory = 0; ///< Bytes that the buffers of all links take.
    uint64_t largestBytes = 0; ///< Of one link.
    HostId largestPeer;
};

/// Authenticated TCP links to other hosts (docs/PROTOCOL.md). Reconnects wanted peers with back-off.
class ILinkHub {
public:
    virtual ~ILinkHub() = default;
    virtual void carryOut(const host::LinksWanted& action) = 0;
    virtual void send(const model::Outgoing& outgoing) = 0;
    [[nodiscard]] virtual LinkBacklog backlog() const = 0;
    /// Where it listens; differs from the options where they name port 0.
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
    size_t largestSendQueue = 8 * 1024 * 1024; ///< Bytes; a slower peer is disconnected.
    /// Bytes of memory that the buffers of all links take together; beyond it the slowest peer is disconnected. Eighty
    /// links that may each hold largestSendQueue would end the process, and with it what all the other peers wait for.
    size_t largestBacklog = 64 * 1024 * 1024;
};
[[nodiscard]] Result<std::unique_ptr<ILinkHub>, IoError> makeLinkHub(LinkHubOptions options);

/// The data folder of a control host (docs/STORAGE.md): lock, segments, snapshot, hard state; all synced.
class IDataFolder {
public:
    virtual ~IDataFolder() = default;
    /// What the folder held at opening.
    [[nodiscard]] virtual const control::RecoveredState& recovered() const = 0;
    /// Warnings found at opening, such as a torn tail that was cut off.
    [[nodiscard]] virtual const std::vector<std::string>& warnings() const = 0;
    /// Starts of a process on this folder, this one included: grows with each.
    [[nodiscard]] virtual uint64_t startCount() const = 0;
    /// Writes and syncs; the result says whether it counts. After an error the same write may be tried again.
    [[nodiscard]] virtual Result<Done, IoError> write(const control::StorageWrite& write) = 0;
    /// The soft state written last; empty where there is none that is whole.
    [[nodiscard]] virtual const host::SoftState& softState() const = 0;
    /// Replaces the soft state whole, synced. After an error the one before stands.
    [[nodiscard]] virtual Result<Done, IoError> writeSoftState(const host::SoftState& state) = 0;
};
/// Refuses a folder in use by another process, of another format version, or damaged in the middle.
[[nodiscard]] Result<std::unique_ptr<IDataFolder>, IoError> openDataFolder(const std::string& path);

} // namespace saltvane::net
