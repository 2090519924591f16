/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/httpserver.h"

#include "net/internal/socketstate.h"

/// End of HttpServer's service: requests that have arrived are answered or refused.
namespace saltvane::net {

namespace {

/// Each run accepts several connections. Bounds the time for which callers that come back at once are accepted.
constexpr int MaxAcceptRuns = 256;

} // namespace

void HttpServer::startShutdown()
{
    if (std::exchange(isShuttingDown_, true))
        return;
    acceptWaiting();
    stopAccepting();
    startLimitTimer();
}

void HttpServer::endShutdown()
{
    for (auto next = connections_.begin(); next != connections_.end();) {
        HttpConnection& connection = *next++;
        if (isAwaitingCaller(connection))
            close(connection, model::CloseReason::Stopping);
    }
}

void HttpServer::acceptWaiting()
{
    const int listening = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
    for (int run = 0; run < MaxAcceptRuns && isReadable(listening); ++run) {
        if (connections_.size() >= acceptedConnections_)
            closeAwaiting();
        MHD_run(daemon_);
    }
}

void HttpServer::closeAwaiting()
{
    for (auto next = connections_.begin(); next != connections_.end();) {
        HttpConnection& connection = *next++;
        if (!connection.isClosing && isAwaitingCaller(connection) && unreadBytes(connection.fd) == 0)
            close(connection, model::CloseReason::Stopping);
    }
}

bool HttpServer::isAwaitingCaller(const HttpConnection& connection) const
{
    if (!connection.isInExchange())
        return true;
    const HttpExchange& exchange = *connection.exchange;
    if (exchange.isBodyRead || exchange.isLastBodySent || exchange.isSuspended() || exchange.isResponseQueued())
        return false;
    return options_.isBodyTakenWhole || exchange.bodyReceived == 0 || exchange.hasResponse();
}

} // namespace saltvane::net
