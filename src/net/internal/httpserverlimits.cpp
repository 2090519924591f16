/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/httpserver.h"

#include "base/log.h"
#include "base/monotonicclock.h"
#include "net/internal/socketstate.h"

#include <algorithm>
#include <linux/tcp.h>
#include <netinet/in.h>

/// Limits of HttpServer on the time that connections take, and on their number.
namespace saltvane::net {

namespace {

constexpr int StatusTimeout = 408;
constexpr int MaxUnreadConnections = 8; ///< Passed over for each connection that is closed for a new one.

uint64_t acknowledgedBytes(int fd)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    return ::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 ? info.tcpi_bytes_acked : 0;
}

std::string_view refusalReason(model::CloseReason reason)
{
    switch (reason) {
    case model::CloseReason::Room:
        return toString(model::Reason::TooManyConnections);
    case model::CloseReason::Stopping:
        return toString(model::Reason::Stopping);
    default:
        return toString(model::Reason::DeadlineExceeded);
    }
}

/// Tells a caller whose request may be on its way that it is not run (RFC 9110, 15.5.9), and ends the sending
/// direction. False: the response did not fit into the socket's buffer.
bool sendRefusal(int fd, model::CloseReason reason)
{
    std::string text = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n";
    text += "Saltvane-Outcome: ";
    text += toString(model::Outcome::NotRun);
    text += "\r\nSaltvane-Reason: ";
    text += refusalReason(reason);
    text += "\r\nContent-Length: 0\r\n\r\n"; // The request may be a HEAD.
    const ssize_t sent = ::send(fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::shutdown(fd, SHUT_WR);
    return sent == static_cast<ssize_t>(text.size());
}

} // namespace

void HttpServer::enforceLimits()
{
    for (auto next = connections_.begin(); next != connections_.end();) {
        HttpConnection& connection = *next++;
        if (connection.isClosing)
            enforceLingerTime(connection);
        else if (connection.isInExchange())
            enforceExchangeLimits(*connection.exchange);
        else if (isOverdue(connection))
            closeUnlessUnread(connection);
    }
    while (countedConnections() > options_.limits.connections && makeRoom()) { }
    if (isShuttingDown_)
        closeAwaiting();
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
        return waited > std::max<Duration>(options_.limits.idleTimeout, connection.keptTime) + headerTimeout;
    case HttpConnection::Phase::InExchange:
        return false;
    }
    return false;
}

void HttpServer::closeUnlessUnread(HttpConnection& connection)
{
    if (const int unread = unreadBytes(connection.fd); unread > 0) // It is the server that is behind.
        return recordOverdueUnread(connection, unread);
    const bool isIdle = connection.phase == HttpConnection::Phase::BetweenRequests;
    close(connection, isIdle ? model::CloseReason::Idle : model::CloseReason::HeadTimeout);
}

void HttpServer::recordOverdueUnread(const HttpConnection& connection, int bytes) const
{
    options_.counters->add(model::Counter::OverdueUnread);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - connection.phaseSince);
    LOG_TAGGED(WARNING, "net") << "event=connection_overdue_unread remote=" << connection.remoteIp
                               << " unread_bytes=" << bytes << " waited_ms=" << waited.count();
}

void HttpServer::recordClose(const HttpConnection& connection, model::CloseReason reason) const
{
    options_.counters->addClose(reason);
    const int unread = unreadBytes(connection.fd);
    const HttpExchange* exchange = connection.exchange;
    if (!connection.isInExchange() && unread == 0)
        return;
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - connection.phaseSince);
    LOG_TAGGED(WARNING, "net") << "event=connection_closed reason=" << toString(reason)
                               << " remote=" << connection.remoteIp << " unread_bytes=" << unread
                               << " in_exchange=" << (connection.isInExchange() ? "yes" : "no")
                               << " passed_on=" << (exchange != nullptr && exchange->isStarted ? "yes" : "no")
                               << " response=" << (exchange != nullptr && exchange->hasResponse() ? "yes" : "no")
                               << " waited_ms=" << waited.count();
}

void HttpServer::enforceExchangeLimits(HttpExchange& exchange)
{
    HttpConnection& connection = exchange.connection();
    if (exchange.isAborted())
        return shutDown(connection); // libmicrohttpd would notice it with the next bytes.
    if (exchange.isSuspended())
        return; // It waits for the core or for its turn, not for the caller.
    const Timestamp now = monotonicNow();
    const CallerPaceLimits& limits = options_.paceLimits;
    if (exchange.lingeringSince) {
        if (now - *exchange.lingeringSince > limits.lingerTime)
            shutDown(connection);
    } else if (exchange.isResponseQueued()) {
        if (isReaderStalled(connection))
            close(connection, model::CloseReason::StalledReader);
    } else if (exchange.isBodyRead) {
        return;
    } else if (exchange.discardingSince) {
        if (now - *exchange.discardingSince > limits.discardTime)
            linger(exchange);
    } else if (isBodyTooSlow(exchange)) {
        recordClose(connection, model::CloseReason::BodyTimeout);
        endBody(exchange);
    }
}

bool HttpServer::isBodyTooSlow(HttpExchange& exchange) const
{
    const Timestamp now = monotonicNow();
    if (now - exchange.connection().lastProgress > options_.limits.idleTimeout)
        return true;
    const Duration elapsed = now - exchange.rateSince;
    if (elapsed < options_.paceLimits.bodyRateWindow)
        return false;
    const double bytesPerSecond = static_cast<double>(exchange.rateBytes) / toSeconds(elapsed);
    exchange.rateSince = now;
    exchange.rateBytes = 0;
    return bytesPerSecond < static_cast<double>(options_.paceLimits.minBodyBytesPerSecond);
}

bool HttpServer::isReaderStalled(HttpConnection& connection) const
{
    const Timestamp now = monotonicNow();
    if (const uint64_t bytes = acknowledgedBytes(connection.fd); bytes != connection.acknowledgedBytes) {
        connection.acknowledgedBytes = bytes;
        connection.lastProgress = now;
    }
    return now - connection.lastProgress > options_.paceLimits.responseStallTime;
}

void HttpServer::endBody(HttpExchange& exchange)
{
    // A core that starts requests before their body is complete may have run a part of this one.
    const bool isNotRun = options_.isBodyTakenWhole || exchange.bodyReceived == 0;
    reportAborted(exchange);
    exchange.isEnded = true;
    constexpr std::string_view Text = "request body too slow\n";
    const model::Outcome outcome = isNotRun ? model::Outcome::NotRun : model::Outcome::Unknown;
    const bool isNew = exchange.setResponse({.handle = exchange.handle(),
        .status = StatusTimeout,
        .headers = {{.name = "Content-Type", .value = "text/plain; charset=utf-8"},
            {.name = "Saltvane-Outcome", .value = std::string(toString(outcome))},
            {.name = "Saltvane-Reason", .value = std::string(toString(model::Reason::DeadlineExceeded))}},
        .bodyLength = Text.size(),
        .bytes = std::string(Text)});
    if (isNew)
        linger(exchange);
    else
        shutDown(exchange.connection());
}

void HttpServer::linger(HttpExchange& exchange)
{
    exchange.lingeringSince = monotonicNow();
    exchange.discardedBytes = 0;
    if (!exchange.sendResponseDuringBody()) {
        reportAborted(exchange);
        exchange.abort();
        return shutDown(exchange.connection());
    }
    if (exchange.isStarted && !exchange.isEnded)
        options_.sink(requests::HttpResponseDone {.handle = exchange.handle()});
    exchange.isEnded = true;
}

void HttpServer::close(HttpConnection& connection, model::CloseReason reason)
{
    if (connection.isClosing)
        return;
    recordClose(connection, reason);
    if (!respondBeforeClose(connection, reason))
        return shutDown(connection);
    markClosing(connection);
    lingering_.push_back(connection);
    endLingeringIfFull();
}

bool HttpServer::respondBeforeClose(HttpConnection& connection, model::CloseReason reason)
{
    if (!connection.isInExchange())
        return sendRefusal(connection.fd, reason);
    HttpExchange& exchange = *connection.exchange;
    if (exchange.isResponseQueued())
        return false;
    if (exchange.hasResponse())
        linger(exchange);
    else
        endBody(exchange);
    return !connection.isClosing;
}

void HttpServer::shutDown(HttpConnection& connection)
{
    markClosing(connection);
    connection.lingerHook.unlink();
    ::shutdown(connection.fd, SHUT_RDWR);
}

void HttpServer::markClosing(HttpConnection& connection)
{
    connection.closableHook.unlink();
    if (std::exchange(connection.isClosing, true))
        return;
    connection.closingSince = monotonicNow();
    ++closingCount_;
}

void HttpServer::enforceLingerTime(HttpConnection& connection)
{
    if (monotonicNow() - connection.closingSince > options_.paceLimits.lingerTime)
        shutDown(connection);
}

void HttpServer::endLingeringIfFull()
{
    if (connections_.size() >= acceptedConnections_ && !lingering_.empty())
        shutDown(lingering_.front());
}

MHD_Result HttpServer::discardLateRequest(HttpExchange& exchange)
{
    options_.counters->add(model::Counter::RequestsAfterClose);
    exchange.isEnded = true; // The core is not notified of this request.
    exchange.lingeringSince = exchange.connection().closingSince;
    return MHD_YES;
}

void HttpServer::recordBodyProgress(HttpExchange& exchange, size_t bytes)
{
    HttpConnection& connection = exchange.connection();
    connection.lastProgress = monotonicNow();
    exchange.progressBytes += bytes;
    if (options_.isBodyTakenWhole && exchange.progressBytes < options_.paceLimits.minBodyBytesPerSecond)
        return; // A body that trickles keeps its place among the connections that may be closed.
    exchange.progressBytes = 0;
    recordProgress(connection);
}

void HttpServer::recordProgress(HttpConnection& connection)
{
    connection.lastProgress = monotonicNow();
    connection.closableSince = connection.lastProgress;
    connection.closableHook.unlink();
    const HttpExchange* exchange = connection.exchange;
    const bool mayHaveRun = exchange != nullptr && !options_.isBodyTakenWhole && exchange->bodyReceived > 0;
    if (!connection.isClosing && !mayHaveRun)
        closable_.push_back(connection);
}

size_t HttpServer::countedConnections() const { return connections_.size() - closingCount_; }

HttpConnection* HttpServer::nextClosable()
{
    for (int i = 0; i < MaxUnreadConnections && !closable_.empty() && unreadBytes(closable_.front().fd) > 0; ++i)
        recordProgress(closable_.front()); // It is the server that is behind.
    if (closable_.empty())
        return nullptr;
    HttpConnection& connection = closable_.front();
    if (!connection.isInExchange() && unreadBytes(connection.fd) > 0)
        return nullptr; // A whole request may be among them.
    return &connection;
}

bool HttpServer::makeRoom()
{
    HttpConnection* connection = nextClosable();
    if (connection == nullptr || monotonicNow() - connection->closableSince < options_.paceLimits.minStandstill)
        return false;
    close(*connection, model::CloseReason::Room);
    return true;
}

bool HttpServer::admitOverLimit(HttpConnection& connection)
{
    const bool isAtLimit = countedConnections() <= options_.limits.connections;
    if (isAtLimit || makeRoom()) {
        connection.isOverLimit = false;
        return true;
    }
    const uint32_t refusalConnections = acceptedConnections_ - options_.limits.connections;
    if (servedOverLimit_ >= refusalConnections / 2 || nextClosable() == nullptr)
        return false;
    connection.isServedOverLimit = true;
    ++servedOverLimit_;
    return true;
}

} // namespace saltvane::net
