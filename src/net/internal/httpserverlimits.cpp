/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/httpserver.h"

#include "base/monotonicclock.h"

#include <sys/socket.h>

/// Limits of HttpServer on the time that connections take, and on their number.
namespace saltvane::net {

void HttpServer::enforceLimits()
{
    for (auto next = connections_.begin(); next != connections_.end();) {
        HttpConnection& connection = *next++;
        if (connection.isClosing)
            continue;
        if (connection.phase == HttpConnection::Phase::InExchange && connection.exchange != nullptr)
            enforceExchangeLimits(*connection.exchange);
        else if (isOverdue(connection))
            close(connection);
    }
}

bool HttpServer::isOverdue(const HttpConnection& connection) const
{
    const Duration waited = monotonicNow() - connection.phaseSince;
    const Duration headerTimeout = options_.limits.headerTimeout;
    switch (connection.phase) {
    case HttpConnection::Phase::BeforeFirst:
    case HttpConnection::Phase::InHead:
        return waited > headerTimeout;
    case HttpConnection::Phase::BetweenRequests:
        return waited > options_.limits.idleTimeout + headerTimeout;
    case HttpConnection::Phase::InExchange:
        return false;
    }
    return false;
}

void HttpServer::enforceExchangeLimits(HttpExchange& exchange)
{
    HttpConnection& connection = exchange.connection();
    if (exchange.isAborted())
        return close(connection); // libmicrohttpd would notice it with the next bytes.
    if (exchange.isSuspended())
        return; // It waits for the core or for its turn, not for the caller.
    const Timestamp now = monotonicNow();
    const CallerPaceLimits& limits = options_.paceLimits;
    if (exchange.lingeringSince) {
        if (now - *exchange.lingeringSince > limits.lingerTime)
            close(connection);
    } else if (exchange.discardingSince && !exchange.isBodyRead && !exchange.isResponseQueued()) {
        if (now - *exchange.discardingSince > limits.discardTime)
            linger(exchange);
    }
}

void HttpServer::linger(HttpExchange& exchange)
{
    exchange.lingeringSince = monotonicNow();
    exchange.discardedBytes = 0;
    if (!exchange.sendResponseDuringBody()) {
        reportAborted(exchange);
        exchange.abort();
        return close(exchange.connection());
    }
    if (exchange.isStarted && !exchange.isEnded)
        options_.sink(requests::HttpResponseDone {.handle = exchange.handle()});
    exchange.isEnded = true;
}

void HttpServer::close(HttpConnection& connection)
{
    if (connection.isClosing)
        return;
    connection.isClosing = true;
    ::shutdown(connection.fd, SHUT_RDWR);
}

} // namespace saltvane::net
