/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/httpserverfixture.h"

#include <deque>
#include <thread>

namespace saltvane::net::tests {
namespace {

constexpr Duration IdleTimeout = 60ms;
constexpr Duration HeaderTimeout = 40ms;
/// Longer than a connection may be idle, with the interval of the checks.
constexpr Duration LoopBlockedTime = 300ms;
/// More than the server passes over for one new connection.
constexpr size_t MaxConnections = 12;

/// Callers that send a request on a kept connection around the time at which the server closes it.
class IdleConnectionTest : public HttpServerTest {
protected:
    [[nodiscard]] size_t startedRequests() const { return log.http<HttpRequestStarted>().size(); }
    /// A connection that has carried one request and keeps open.
    [[nodiscard]] RawSocket connectAndExchange()
    {
        RawSocket client = connect();
        EXPECT_TRUE(exchange(client, PlainGet, "200 OK"));
        client.received.clear();
        return client;
    }
    /// As many connections as the server takes, each with a request that it has not read.
    [[nodiscard]] std::deque<RawSocket> connectAllWithUnreadRequests()
    {
        makeServer({.connections = MaxConnections}, {.minStandstill = 50ms});
        respondAtOnce({.status = 200, .bodyLength = 0});
        std::deque<RawSocket> clients;
        for (size_t i = 0; i < MaxConnections; ++i)
            clients.push_back(connectAndExchange());
        for (RawSocket& client : clients)
            client.send(PlainGet);
        return clients;
    }
};

// Guards against requests that wait in the socket while the loop is blocked, such as by a new plan, and are lost
// because the connection counts as idle.
TEST_F(IdleConnectionTest, RequestThatArrivedWhileTheLoopWasBlockedIsAnswered)
{
    makeServer({.idleTimeout = IdleTimeout, .headerTimeout = HeaderTimeout});
    respondAtOnce({.status = 200, .bodyLength = 0});
    RawSocket client = connectAndExchange();
    client.send(PlainGet);
    std::this_thread::sleep_for(LoopBlockedTime);
    EXPECT_TRUE(runner.runUntil([&] { return client.hasReceived("200 OK") || client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("200 OK"));
}

// Guards against the same for the rest of a head that began to arrive before.
TEST_F(IdleConnectionTest, HeadThatWasCompletedWhileTheLoopWasBlockedIsAnswered)
{
    makeServer({.idleTimeout = IdleTimeout, .headerTimeout = HeaderTimeout});
    respondAtOnce({.status = 200, .bodyLength = 0});
    RawSocket client = connectAndExchange();
    const std::string_view request = PlainGet;
    client.send(request.substr(0, 20));
    runner.runTurns(5);
    client.send(request.substr(20));
    std::this_thread::sleep_for(LoopBlockedTime);
    EXPECT_TRUE(runner.runUntil([&] { return client.hasReceived("200 OK") || client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("200 OK"));
}

// Guards against requests that run although their connection has been closed for a new one, so that nobody gets the
// response.
TEST_F(IdleConnectionTest, RequestsOnClosedConnectionsDoNotRun)
{
    std::deque<RawSocket> clients = connectAllWithUnreadRequests();
    RawSocket added = connect();
    std::this_thread::sleep_for(LoopBlockedTime);
    runner.runTurns(50);
    size_t answered = 0;
    for (RawSocket& client : clients)
        answered += client.hasReceived("200 OK") ? 1 : 0;
    EXPECT_EQ(startedRequests() - MaxConnections, answered);
}

// Guards against requests that get no response because their connection makes room for a new one while the loop is
// blocked.
TEST_F(IdleConnectionTest, ConnectionsWithUnreadRequestsDoNotMakeRoom)
{
    std::deque<RawSocket> clients = connectAllWithUnreadRequests();
    RawSocket added = connect();
    added.send(PlainGet);
    std::this_thread::sleep_for(LoopBlockedTime);
    EXPECT_TRUE(runner.runUntil([&] { return added.hasReceived("\r\n\r\n"); }));
    for (RawSocket& client : clients)
        EXPECT_TRUE(client.hasReceived("200 OK"));
}

// Guards against connections that are closed while callers may still use them, because nobody told the callers for how
// long.
TEST_F(IdleConnectionTest, ResponsesNameTheTimeForWhichTheConnectionIsKept)
{
    makeServer({.idleTimeout = 2500ms});
    respondAtOnce({.status = 200, .bodyLength = 0});
    RawSocket kept = connect();
    ASSERT_TRUE(exchange(kept, PlainGet, "\r\n\r\n"));
    EXPECT_TRUE(kept.hasReceived("\r\nKeep-Alive: timeout=2\r\n")) << kept.received;
}

// Guards against a time limit that is named on connections which end with their response.
TEST_F(IdleConnectionTest, ResponsesThatEndTheirConnectionNameNoTime)
{
    makeServer({.idleTimeout = 15s});
    respondAtOnce({.status = 200, .bodyLength = 0});
    for (const std::string_view request : {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
             "GET / HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n", "GET / HTTP/1.0\r\nHost: h\r\n\r\n"}) {
        RawSocket client = connect();
        ASSERT_TRUE(exchange(client, request, "\r\n\r\n"));
        EXPECT_FALSE(client.hasReceived("Keep-Alive:")) << client.received;
    }
    respondAtOnce({.status = 503, .headers = {{.name = "Connection", .value = "close"}}, .bodyLength = 0});
    RawSocket refused = connect();
    ASSERT_TRUE(exchange(refused, PlainGet, "\r\n\r\n"));
    EXPECT_FALSE(refused.hasReceived("Keep-Alive:")) << refused.received;
}

// Guards against the same for requests that are refused before their body, which ends the connection.
TEST_F(IdleConnectionTest, RefusalsBeforeTheBodyNameNoTime)
{
    makeServer({.idleTimeout = 15s});
    respondAtOnce({.status = 503, .bodyLength = 0});
    RawSocket client = connect();
    ASSERT_TRUE(exchange(
        client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n", "\r\n\r\n"));
    EXPECT_TRUE(client.hasReceived("Connection: close")) << client.received;
    EXPECT_FALSE(client.hasReceived("Keep-Alive:")) << client.received;
}

// Guards against "timeout=0", which a limit of less than a second would be rounded to.
TEST_F(IdleConnectionTest, TimesBelowOneSecondAreNotNamed)
{
    makeServer({.idleTimeout = 900ms});
    respondAtOnce({.status = 200, .bodyLength = 0});
    RawSocket client = connect();
    ASSERT_TRUE(exchange(client, PlainGet, "\r\n\r\n"));
    EXPECT_FALSE(client.hasReceived("Keep-Alive:")) << client.received;
}

// Guards against requests that get no response because a new plan lowers the idle limit: the caller was told the longer
// time, and uses its connection until then.
TEST_F(IdleConnectionTest, ConnectionIsKeptForTheNamedTimeIfAPlanLowersTheLimit)
{
    makeServer({.idleTimeout = 2s, .headerTimeout = 100ms});
    respondAtOnce({.status = 200, .bodyLength = 0});
    RawSocket kept = connect();
    ASSERT_TRUE(exchange(kept, PlainGet, "Keep-Alive: timeout=2\r\n"));
    server->setCallerLimits({.headerTimeout = 100ms, .idleTimeout = 1s});
    const auto end = std::chrono::steady_clock::now() + 1600ms;
    (void)runner.runUntil([&] { return kept.isPeerDisconnected() || std::chrono::steady_clock::now() > end; });
    EXPECT_FALSE(kept.isPeerDisconnected());
    kept.received.clear();
    EXPECT_TRUE(exchange(kept, PlainGet, "Keep-Alive: timeout=1\r\n")) << kept.received;
    EXPECT_TRUE(runner.runUntil([&] { return kept.isPeerDisconnected(); }));
}

// Guards against checks of the time limits that never run because plans change more often than they are due.
TEST_F(IdleConnectionTest, FrequentPlanChangesDoNotPostponeLimitChecks)
{
    const model::CallerLimits limits {.headerTimeout = 100ms, .idleTimeout = 100ms};
    makeServer({.idleTimeout = limits.idleTimeout, .headerTimeout = limits.headerTimeout});
    RawSocket stalled = connect();
    stalled.send("GET / HTTP/1.1\r\nHo");
    EXPECT_TRUE(runner.runUntil([&] {
        server->setCallerLimits(limits); // Each turn of the loop, far more often than the checks.
        return stalled.isPeerDisconnected();
    }));
}

} // namespace
} // namespace saltvane::net::tests
