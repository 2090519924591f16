/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/httpserverfixture.h"

namespace saltvane::net::tests {
namespace {

/// Callers whose request arrives around the time at which the server closes their connection.
class ConnectionCloseTest : public HttpServerTest {
protected:
    [[nodiscard]] size_t startedRequests() const { return log.http<HttpRequestStarted>().size(); }
    void waitFor(Duration time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        (void)runner.runUntil([&] { return std::chrono::steady_clock::now() > end; });
    }
    /// Waits until the server has closed a connection, while the caller doesn't notice.
    [[nodiscard]] bool waitClosed(model::CloseReason reason)
    {
        return runner.runUntil([&] { return counters.closesFor(reason) > 0; });
    }
};

// Guards against late heads whose callers are not told that their request was not run.
TEST_F(ConnectionCloseTest, LateHeadIsRefused)
{
    makeServer({.headerTimeout = 50ms});
    RawSocket client = connect();
    client.send("GET / HTTP/1.1\r\nHo");
    EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 408 ")) << client.received;
    EXPECT_TRUE(client.hasReceived("\r\nConnection: close\r\n")) << client.received;
    EXPECT_TRUE(client.hasReceived("\r\nSaltvane-Outcome: not-run\r\n")) << client.received;
    EXPECT_EQ(startedRequests(), 0u);
}

// Guards against requests that get neither a response nor a refusal because a new plan lowers the time limit of heads.
TEST_F(ConnectionCloseTest, HeadThatIsLateByANewPlanIsRefused)
{
    makeServer({.headerTimeout = 60s});
    RawSocket client = connect();
    const std::string_view request = PlainGet;
    client.send(request.substr(0, 20));
    runner.runTurns(5);
    server->setCallerLimits({.headerTimeout = 50ms, .idleTimeout = 15s});
    client.isReading = false;
    ASSERT_TRUE(waitClosed(model::CloseReason::HeadTimeout));
    client.send(request.substr(20));
    waitFor(50ms);
    client.isReading = true;
    EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 408 ")) << client.received;
    EXPECT_TRUE(client.hasReceived("\r\nSaltvane-Outcome: not-run\r\n")) << client.received;
    EXPECT_EQ(startedRequests(), 0u);
}

// Guards against the rest of a late head that arrives after the refusal: a reset would destroy the refusal on its way.
TEST_F(ConnectionCloseTest, LateHeadThatIsCompletedAfterTheCloseDoesNotRunAndResetsNothing)
{
    makeServer({.headerTimeout = 50ms});
    RawSocket client = connect();
    const std::string_view request = PlainGet;
    client.send(request.substr(0, 20));
    client.isReading = false;
    ASSERT_TRUE(waitClosed(model::CloseReason::HeadTimeout));
    client.send(request.substr(20));
    waitFor(50ms);
    client.isReading = true;
    EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 408 ")) << client.received;
    EXPECT_FALSE(client.peerReset);
    EXPECT_EQ(startedRequests(), 0u);
}

// Guards against whole requests that get neither a response nor a refusal: they were on their way when their connection
// was closed as idle.
TEST_F(ConnectionCloseTest, RequestThatCrossesAnIdleCloseIsRefused)
{
    makeServer({.idleTimeout = 60ms, .headerTimeout = 40ms});
    respondAtOnce({.status = 200, .bodyLength = 0});
    for (const std::string_view request : {PlainGet, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde"}) {
        const uint64_t closes = counters.closesFor(model::CloseReason::Idle);
        const size_t started = startedRequests();
        RawSocket client = connect();
        ASSERT_TRUE(exchange(client, PlainGet, "200 OK"));
        client.received.clear();
        client.isReading = false;
        ASSERT_TRUE(runner.runUntil([&] { return counters.closesFor(model::CloseReason::Idle) > closes; }));
        client.send(request);
        waitFor(50ms);
        client.isReading = true;
        EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
        EXPECT_TRUE(client.hasReceived("HTTP/1.1 408 ")) << client.received;
        EXPECT_TRUE(client.hasReceived("\r\nSaltvane-Outcome: not-run\r\n")) << client.received;
        EXPECT_FALSE(client.peerReset);
        EXPECT_EQ(startedRequests(), started + 1);
    }
}

// Guards against responses that are lost because their connection, whose body is still read, makes room for a new one.
TEST_F(ConnectionCloseTest, ResponseIsSentBeforeItsConnectionMakesRoom)
{
    makeServer({.connections = 1}, {.minStandstill = 50ms});
    respondAtOnce({.status = 429, .bodyLength = 2, .bytes = "no"});
    RawSocket client = connect();
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nabc");
    ASSERT_TRUE(waitStarted(1));
    waitFor(100ms);
    RawSocket added = connect();
    EXPECT_TRUE(exchange(added, PlainGet, "HTTP/1.1 429"));
    EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 429")) << client.received;
    EXPECT_TRUE(client.hasReceived("\r\n\r\nno")) << client.received;
}

// Guards against closed connections that stay open because their callers do not close them.
TEST_F(ConnectionCloseTest, CallersThatIgnoreTheCloseAreDisconnected)
{
    makeServer({.headerTimeout = 50ms}, {.lingerTime = 100ms});
    RawSocket client = connect();
    client.send("GET / HTTP/1.1\r\nHo");
    EXPECT_TRUE(runner.runUntil([&] {
        if (!client.peerReset)
            client.send("x");
        return server->openConnections() == 0;
    }));
}

// Guards against refusals that keep connections from being accepted at the limit, since their callers do not close.
TEST_F(ConnectionCloseTest, ClosedConnectionsMakeRoomBeforeTheirCallersClose)
{
    makeServer({.connections = 8, .headerTimeout = 30s}, {.lingerTime = 60s, .minStandstill = 20ms});
    respondAtOnce({.bodyLength = 2, .bytes = "ok"});
    std::vector<RawSocket> crowd;
    for (int i = 0; i < 40; ++i)
        crowd.push_back(connect());
    RawSocket caller = connect();
    EXPECT_TRUE(exchange(caller, PlainGet, "\r\n\r\nok"));
}

// Guards against the same if the callers go on sending.
TEST_F(ConnectionCloseTest, ClosedConnectionsWhoseCallersSendMakeRoom)
{
    makeServer({.connections = 2, .headerTimeout = 30s}, {.lingerTime = 60s, .minStandstill = 20ms});
    std::vector<RawSocket> crowd;
    for (int i = 0; i < 12; ++i) {
        crowd.push_back(connect());
        crowd.back().send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
    }
    RawSocket caller = connect();
    caller.send(PlainGet);
    EXPECT_TRUE(runner.runUntil([&] {
        for (RawSocket& client : crowd) {
            if (!client.received.empty() && !client.isPeerDisconnected())
                client.send("x");
            client.pump();
        }
        return caller.hasReceived("HTTP/1.1");
    }));
}

} // namespace
} // namespace saltvane::net::tests
