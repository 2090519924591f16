/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/httpserver.h"

#include "base/monotonicclock.h"
#include "net/internal/socketaddress.h"

#include <algorithm>
#include <array>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <vector>

namespace saltvane::net {

namespace {

/// Connections beyond the limit that are accepted to send a 503 response, as a part of the limit.
constexpr uint32_t RefusalDivisor = 8;
constexpr uint32_t MinRefusalConnections = 2;
constexpr uint32_t MaxRefusalConnections = 64;
constexpr size_t ExtraPoolBytes = 8 * 1024; ///< Per connection, for parsed headers and the write buffer.
constexpr Duration MaxLimitCheckInterval = 1s;
constexpr Duration MinLimitCheckInterval = 10ms;

bool hasReceivedBytes(int fd)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
        return false;
    return info.tcpi_bytes_received > 0;
}

/// False only if the peer has closed its sending side or the connection is broken. If the state can't be read, the
/// event of the disconnect decides.
bool isPeerConnected(int fd)
{
    pollfd socket {.fd = fd, .events = POLLRDHUP, .revents = 0};
    return ::poll(&socket, 1, 0) <= 0;
}

std::string remoteIpOf(MHD_Connection* connection)
{
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr == nullptr)
        return {};
    const bool isV6 = info->client_addr->sa_family == AF_INET6;
    const socklen_t length = isV6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
    return SocketAddress::from(info->client_addr, length).address().ip;
}

} // namespace

uint32_t acceptedConnections(uint32_t limit)
{
    return limit + std::clamp(limit / RefusalDivisor, MinRefusalConnections, MaxRefusalConnections);
}

uint64_t connectionPoolBytes(uint64_t headerBytes) { return headerBytes + ExtraPoolBytes; }

HttpServer::HttpServer(HttpServerOptions options)
    : options_(std::move(options))
    , maxHeaderBytes_(options_.limits.requestHeaderBytes)
    , acceptedConnections_(acceptedConnections(options_.limits.connections))
    , lastHandle_(requests::firstHandleOf(options_.listener).value)
    , disconnectMonitor_(options_.loop, [this](HttpConnection& connection) { onClientDisconnected(connection); })
    , runTask_(options_.loop, TaskOrder::AfterIo, [this] { run(); })
    , pollWatcher_(options_.loop, [this](int) { runTask_.schedule(); })
    , daemonTimer_(options_.loop, [this] { runTask_.schedule(); })
    , limitTimer_(options_.loop, [this] { enforceLimits(); })
{
}

HttpServer::~HttpServer()
{
    isStopping_ = true;
    if (daemon_ == nullptr)
        return;
    for (const HttpConnection& connection : connections_) {
        if (!connection.isClosing)
            recordClose(connection, model::CloseReason::Stopping);
    }
    for (auto& [handle, exchange] : exchanges_) {
        if (!exchange->lingeringSince) // A reset would destroy the response that was sent.
            exchange->abort();
        exchange->resume();
    }
    MHD_run(daemon_);
    MHD_stop_daemon(daemon_);
}

Result<Success, IoError> HttpServer::start()
{
    auto listening = listenOn(options_.address);
    if (!listening)
        return listening.error();
    boundAddress_ = boundAddressOf(listening.value().get());
    if (options_.sendBufferBytes > 0) // Inherited by accepted connections.
        ::setsockopt(listening.value().get(), SOL_SOCKET, SO_SNDBUF, &options_.sendBufferBytes,
            sizeof(options_.sendBufferBytes));
    const auto& limits = options_.limits;
    const size_t pool = connectionPoolBytes(limits.requestHeaderBytes);
    const unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    daemon_ = MHD_start_daemon(flags, 0, nullptr, nullptr, &HttpServer::onAccess, this, //
        MHD_OPTION_LISTEN_SOCKET, listening.value().get(), //
        MHD_OPTION_CONNECTION_LIMIT, acceptedConnections_, //
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, pool, //
        MHD_OPTION_CONNECTION_TIMEOUT, 0u, // This class enforces the limits.
        MHD_OPTION_STRICT_FOR_CLIENT, 1, //
        MHD_OPTION_URI_LOG_CALLBACK, &HttpServer::onUri, this, //
        MHD_OPTION_NOTIFY_COMPLETED, &HttpServer::onCompleted, this, //
        MHD_OPTION_NOTIFY_CONNECTION, &HttpServer::onConnection, this, //
        MHD_OPTION_END);
    if (daemon_ == nullptr)
        return lastError(describe(boundAddress_), "MHD_start_daemon");
    (void)listening.value().release(); // Closed by libmicrohttpd.
    pollWatcher_.watch(MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, EV_READ);
    startLimitTimer();
    return Success {};
}

void HttpServer::startLimitTimer()
{
    const Duration shortest = isShuttingDown_ ? Duration::zero()
                                              : std::min({options_.limits.headerTimeout / 4,
                                                  options_.limits.idleTimeout / 4, options_.paceLimits.minStandstill});
    const Duration interval = std::clamp(shortest, MinLimitCheckInterval, MaxLimitCheckInterval);
    if (std::exchange(limitCheckInterval_, interval) != interval)
        limitTimer_.startRepeating(interval);
}

void HttpServer::setCallerLimits(const model::CallerLimits& limits)
{
    // The memory for request heads is allocated at start and cannot grow.
    options_.limits.requestHeaderBytes = std::min(limits.headerBytes, maxHeaderBytes_);
    options_.limits.headerTimeout = limits.headerTimeout;
    options_.limits.idleTimeout = limits.idleTimeout;
    startLimitTimer();
}

bool HttpServer::isCallerConnected(requests::HttpHandle handle) const
{
    HttpExchange* exchange = find(handle);
    return exchange != nullptr && isPeerConnected(exchange->connection().fd);
}

void HttpServer::stopAccepting()
{
    const int fd = MHD_quiesce_daemon(daemon_);
    if (fd >= 0)
        ::close(fd);
}

HttpExchange* HttpServer::find(requests::HttpHandle handle) const
{
    const auto found = exchanges_.find(handle);
    if (found == exchanges_.end() || found->second->isEnded)
        return nullptr;
    return found->second.get();
}

void HttpServer::resume(HttpExchange& exchange)
{
    if (!exchange.isSuspended())
        return;
    exchange.pausedHook.unlink();
    exchange.resume();
    exchange.connection().lastProgress = monotonicNow();
    const bool isCallerAwaited = !exchange.isBodyRead && !exchange.isLastBodySent;
    if (isCallerAwaited)
        recordProgress(exchange.connection());
    runTask_.schedule();
}

void HttpServer::execute(requests::HttpRespond action)
{
    HttpExchange* exchange = find(action.handle);
    if (exchange == nullptr)
        return;
    if (!exchange->setResponse(std::move(action)))
        return abort(*exchange);
    if (!exchange->isBodyRead)
        exchange->discardingSince = monotonicNow();
    resume(*exchange);
}

void HttpServer::execute(requests::HttpResponseBody action)
{
    HttpExchange* exchange = find(action.handle);
    if (exchange == nullptr)
        return;
    if (!exchange->hasResponse() || !exchange->addResponseBody(action.bytes, action.isLast))
        return abort(*exchange);
    if (exchange->isResponseReady())
        resume(*exchange);
}

void HttpServer::execute(const requests::HttpAbort& action)
{
    HttpExchange* exchange = find(action.handle);
    if (exchange != nullptr)
        abort(*exchange);
}

void HttpServer::execute(const requests::HttpRequestWindow& action)
{
    HttpExchange* exchange = find(action.handle);
    if (exchange == nullptr)
        return;
    exchange->bodyWindow += action.bytes;
    const bool isPaused = exchange->pausedHook.is_linked();
    if (!exchange->isLastBodySent && !isPaused)
        resume(*exchange);
}

void HttpServer::abort(HttpExchange& exchange)
{
    recordClose(exchange.connection(), model::CloseReason::Aborted);
    exchange.isEnded = true;
    exchange.abort();
    resume(exchange);
    runTask_.schedule();
}

void HttpServer::reportAborted(HttpExchange& exchange)
{
    if (!exchange.isStarted || exchange.isEnded)
        return;
    exchange.isEnded = true;
    if (!isStopping_)
        options_.sink(requests::HttpRequestAborted {.handle = exchange.handle()});
}

void HttpServer::onClientDisconnected(HttpConnection& connection)
{
    HttpExchange* exchange = connection.exchange;
    if (exchange == nullptr || !exchange->isSuspended())
        return; // libmicrohttpd detects it.
    reportAborted(*exchange);
    exchange->abort();
    resume(*exchange);
}

void HttpServer::onConnection(
    void* server, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode code)
{
    auto& self = *static_cast<HttpServer*>(server);
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
        return self.connectionStarted(connection, context);
    if (*context != nullptr)
        self.connectionClosed(*static_cast<HttpConnection*>(*context));
    *context = nullptr;
}

void HttpServer::connectionStarted(MHD_Connection* connection, void** context)
{
    auto created = std::make_unique<HttpConnection>();
    created->connection = connection;
    created->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    created->remoteIp = remoteIpOf(connection);
    created->phaseSince = monotonicNow();
    created->isOverLimit = countedConnections() >= options_.limits.connections && !makeRoom();
    disconnectMonitor_.add(*created);
    connections_.push_back(*created);
    recordProgress(*created);
    *context = created.release();
    endLingeringIfFull();
}

void HttpServer::connectionClosed(HttpConnection& connection)
{
    const std::unique_ptr<HttpConnection> owned(&connection);
    // At its limit libmicrohttpd polls its listening socket only from the run after a connection was closed.
    if (connections_.size() >= acceptedConnections_)
        runTask_.schedule();
    connections_.erase(connections_.iterator_to(connection));
    closingCount_ -= connection.isClosing ? 1 : 0;
    servedOverLimit_ -= connection.isServedOverLimit ? 1 : 0;
    const bool hadNoRequest = connection.phase == HttpConnection::Phase::BeforeFirst;
    if (hadNoRequest && !isStopping_ && hasReceivedBytes(connection.fd))
        options_.counters->add(model::Counter::BadHttpRequests);
}

} // namespace saltvane::net
