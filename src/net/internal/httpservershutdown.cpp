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

void HttpServer::endShutdown()
{
    for (auto next = connections_.begin(); next != connections_.end();) {
        HttpConnection& connection = *next++;
        if (!connection.isInExchange())
            close(connection, model::CloseReason::Stopping);
    }
}

void HttpServer::acceptWaiting()
{
    const int listening = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
    // Bounded, since accepting may fail. The number of connections doesn't tell: others may end in the same run.
    for (uint32_t runs = 0; runs < acceptedConnections_; ++runs) {
        if (!isReadable(listening) || connections_.size() >= acceptedConnections_)
            return;
        MHD_run(daemon_);
    }
}

void HttpServer::closeIdle()
{
    for (auto next = connections_.begin(); next != connections_.end();) {
        HttpConnection& connection = *next++;
        if (!connection.isInExchange() && !connection.isClosing && unreadBytes(connection.fd) == 0)
            close(connection, model::CloseReason::Stopping);
    }
}

} // namespace saltvane::net
