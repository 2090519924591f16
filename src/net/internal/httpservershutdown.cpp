/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/httpserver.h"

#include "net/internal/socketstate.h"

/// End of HttpServer's service, in which no request that has arrived is lost.
namespace saltvane::net {

void HttpServer::startShutdown()
{
    if (std::exchange(isShuttingDown_, true))
        return;
    acceptWaiting();
    stopAccepting();
    startLimitTimer();
}

void HttpServer::acceptWaiting()
{
    const int listening = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
    for (size_t before = 0; isReadable(listening) && connections_.size() < acceptedConnections_;) {
        before = connections_.size();
        MHD_run(daemon_);
        if (connections_.size() <= before)
            return;
    }
}

void HttpServer::closeIdle()
{
    for (auto next = connections_.begin(); next != connections_.end();) {
        HttpConnection& connection = *next++;
        const bool isAwaitingRequest = connection.phase == HttpConnection::Phase::BeforeFirst
            || connection.phase == HttpConnection::Phase::BetweenRequests;
        if (isAwaitingRequest && !connection.isClosing && unreadBytes(connection.fd) == 0)
            close(connection, model::CloseReason::Stopping);
    }
}

} // namespace saltvane::net
