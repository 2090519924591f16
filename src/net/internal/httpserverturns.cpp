/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/httpserver.h"

/// Work of HttpServer in one turn (iteration) of the event loop. Connections that send bodies have a share of it each;
/// one that has used up its share is suspended, so that the loop runs the events of others before it goes on.
namespace saltvane::net {

namespace {

constexpr int MaxRunsPerTurn = 8;
constexpr uint64_t MaxTurnBytes = 256 * 1024; ///< Body bytes that the server reads in a turn.
constexpr uint64_t MaxConnectionTurnBytes = 64 * 1024;
/// Cost of each part of a body beyond its bytes: chunks may be as short as one byte.
constexpr uint64_t BytesPerCall = 256;

} // namespace

void HttpServer::run()
{
    startTurn();
    for (int i = 0; i < MaxRunsPerTurn && !isTurnUsed(); ++i) {
        MHD_run(daemon_);
        emitProgress();
        MHD_UNSIGNED_LONG_LONG timeout = 0;
        const bool hasTimeout = MHD_get_timeout(daemon_, &timeout) == MHD_YES;
        if (hasTimeout && timeout == 0)
            continue;
        if (!paused_.empty())
            break;
        return hasTimeout ? daemonTimer_.startOnce(std::chrono::milliseconds(timeout)) : daemonTimer_.stop();
    }
    daemonTimer_.startOnce(Duration::zero());
}

void HttpServer::startTurn()
{
    const uint64_t turn = ev_iteration(options_.loop);
    if (turn_ == turn)
        return; // Another run in the same turn.
    turn_ = turn;
    turnCost_ = 0;
    resumePaused();
}

bool HttpServer::isTurnUsed() const { return turnCost_ >= MaxTurnBytes; }

void HttpServer::recordCost(HttpConnection& connection, uint64_t bytes)
{
    const uint64_t cost = bytes + BytesPerCall;
    turnCost_ += cost;
    connection.turnCost = connection.turn == turn_ ? connection.turnCost + cost : cost;
    connection.turn = turn_;
}

void HttpServer::pauseIfShareIsUsed(HttpExchange& exchange)
{
    const bool isShareUsed = isTurnUsed() || exchange.connection().turnCost >= MaxConnectionTurnBytes;
    if (!isShareUsed || exchange.isSuspended() || exchange.isAborted() || exchange.isLastBodySent)
        return;
    exchange.suspend();
    paused_.push_back(exchange);
}

void HttpServer::resumePaused()
{
    for (uint64_t shares = MaxTurnBytes / MaxConnectionTurnBytes; shares > 0 && !paused_.empty(); --shares)
        resume(paused_.front());
}

void HttpServer::emitProgress()
{
    while (!progressing_.empty()) {
        HttpExchange& exchange = progressing_.front();
        progressing_.pop_front();
        const uint64_t bytes = exchange.drainProgress();
        if (!exchange.isEnded)
            options_.sink(requests::HttpResponseProgress {.handle = exchange.handle(), .bytes = bytes});
    }
}

} // namespace saltvane::net
