/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/httpserverfixture.h"

namespace saltvane::net::tests {
namespace {

/// Callers that send a request right before the process ends.
class ServerShutdownTest : public HttpServerTest {
protected:
    void SetUp() override
    {
        HttpServerTest::SetUp();
        respondAtOnce({.status = 503, .headers = {{.name = "Connection", .value = "close"}}, .bodyLength = 0});
    }
    [[nodiscard]] bool waitShutDown()
    {
        return runner.runUntil([&] { return server->isShutDown(); });
    }
};

// Guards against requests that wait in the socket of a kept connection when the process ends, and are reset unread.
TEST_F(ServerShutdownTest, RequestThatWaitsUnreadIsAnswered)
{
    respondAtOnce({.status = 503, .bodyLength = 0});
    RawSocket client = connect();
    ASSERT_TRUE(exchange(client, PlainGet, "HTTP/1.1 503"));
    client.received.clear();
    client.send(PlainGet);
    server->startShutdown();
    EXPECT_TRUE(runner.runUntil([&] { return client.hasReceived("\r\n\r\n") || client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 503")) << client.received;
}

// Guards against the same on connections that the process has not accepted yet.
TEST_F(ServerShutdownTest, RequestOnAConnectionThatIsNotAcceptedYetIsAnswered)
{
    std::vector<RawSocket> clients;
    for (int i = 0; i < 100; ++i) {
        clients.push_back(connect());
        clients.back().send(PlainGet);
    }
    server->startShutdown();
    for (RawSocket& client : clients) {
        EXPECT_TRUE(runner.runUntil([&] { return client.hasReceived("\r\n\r\n") || client.isPeerDisconnected(); }));
        EXPECT_TRUE(client.hasReceived("HTTP/1.1 503")) << client.received;
    }
}

// Guards against connections that wait to be accepted and are reset because others end at the same time.
TEST_F(ServerShutdownTest, RequestsOnWaitingConnectionsAreAnsweredWhileOthersEnd)
{
    constexpr int Count = 40;
    std::vector<RawSocket> ended;
    for (int i = 0; i < Count; ++i) {
        ended.push_back(connect());
        ASSERT_TRUE(exchange(ended.back(), PlainGet, "HTTP/1.1 503"));
    }
    std::vector<RawSocket> clients;
    for (int i = 0; i < Count; ++i) {
        ended[i].close();
        clients.push_back(connect());
        clients.back().send(PlainGet);
    }
    server->startShutdown();
    for (RawSocket& client : clients) {
        EXPECT_TRUE(runner.runUntil([&] { return client.hasReceived("\r\n\r\n") || client.isPeerDisconnected(); }));
        EXPECT_TRUE(client.hasReceived("HTTP/1.1 503")) << client.received;
    }
}

// Guards against requests that arrive on an idle connection while the process ends and get neither a response nor a
// refusal.
TEST_F(ServerShutdownTest, RequestsOnIdleConnectionsAreRefused)
{
    respondAtOnce({.status = 503, .bodyLength = 0});
    RawSocket client = connect();
    ASSERT_TRUE(exchange(client, PlainGet, "HTTP/1.1 503"));
    client.received.clear();
    const size_t started = log.http<HttpRequestStarted>().size();
    client.isReading = false;
    server->startShutdown();
    ASSERT_TRUE(runner.runUntil([&] { return counters.closesFor(model::CloseReason::Stopping) > 0; }));
    client.send(PlainGet);
    runner.runTurns(20);
    client.isReading = true;
    EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 408 ")) << client.received;
    EXPECT_TRUE(client.hasReceived("\r\nSaltvane-Outcome: not-run\r\n")) << client.received;
    EXPECT_EQ(log.http<HttpRequestStarted>().size(), started);
    client.close();
    EXPECT_TRUE(waitShutDown());
}

// Guards against requests whose head is completed while the end of the connection is on its way, and that get no word.
TEST_F(ServerShutdownTest, RequestWhoseHeadIsCompletedAfterTheEndIsRefused)
{
    respondAtOnce({.status = 503, .bodyLength = 0});
    constexpr std::string_view Request = PlainGet;
    const size_t half = Request.find("Host");
    RawSocket client = connect();
    ASSERT_TRUE(exchange(client, Request, "HTTP/1.1 503"));
    client.received.clear();
    client.isReading = false;
    client.send(Request.substr(0, half));
    runner.runTurns(20);
    server->startShutdown();
    runner.runTurns(100);
    server.reset();
    client.send(Request.substr(half));
    client.isReading = true;
    EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 408 ")) << client.received;
    EXPECT_TRUE(client.hasReceived("\r\nSaltvane-Outcome: not-run\r\n")) << client.received;
}

// Guards against requests that arrive while the process stands still right before its end, and that get no word.
TEST_F(ServerShutdownTest, RequestThatIsNotReadBeforeTheEndIsRefused)
{
    respondAtOnce({.status = 503, .bodyLength = 0});
    RawSocket client = connect();
    ASSERT_TRUE(exchange(client, PlainGet, "HTTP/1.1 503"));
    client.received.clear();
    const size_t started = log.http<HttpRequestStarted>().size();
    server->startShutdown();
    client.send(PlainGet);
    server->endShutdown();
    runner.runTurns(20);
    server.reset();
    EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 408 ")) << client.received;
    EXPECT_TRUE(client.hasReceived("\r\nSaltvane-Outcome: not-run\r\n")) << client.received;
    EXPECT_EQ(log.http<HttpRequestStarted>().size(), started);
}

// Guards against a shutdown that does not wait for responses that the core has still to send.
TEST_F(ServerShutdownTest, LastsUntilRequestsInProgressAreAnswered)
{
    onEvent = {};
    RawSocket client = connect();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    server->startShutdown();
    runner.runTurns(50);
    EXPECT_FALSE(server->isShutDown());
    server->execute(HttpRespond {
        .handle = handleOf(0), .headers = {{.name = "Connection", .value = "close"}}, .bodyLength = 2, .bytes = "ok"});
    EXPECT_TRUE(runner.runUntil([&] { return client.hasReceived("\r\n\r\nok"); }));
    client.close();
    EXPECT_TRUE(waitShutDown());
}

// Guards against new connections that are accepted by a process that ends.
TEST_F(ServerShutdownTest, AcceptsNoNewConnections)
{
    server->startShutdown();
    RawSocket late = connect();
    EXPECT_TRUE(runner.runUntil([&] { return late.isPeerDisconnected(); }));
    EXPECT_EQ(late.received, "");
    EXPECT_EQ(server->openConnections(), 0u);
    EXPECT_TRUE(waitShutDown());
}

// Guards against requests that wait to be accepted while idle connections hold all places.
TEST_F(ServerShutdownTest, IdleConnectionsMakePlaceForThoseThatAreNotAcceptedYet)
{
    makeServer({.connections = 4}, {.minStandstill = 60s});
    respondAtOnce({.status = 503, .headers = {{.name = "Connection", .value = "close"}}, .bodyLength = 0});
    std::vector<RawSocket> idle;
    for (int i = 0; i < 6; ++i)
        idle.push_back(connect());
    ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 6; }));
    std::vector<RawSocket> clients;
    for (int i = 0; i < 20; ++i) {
        clients.push_back(connect());
        clients.back().send(PlainGet);
    }
    server->startShutdown();
    for (RawSocket& client : clients) {
        EXPECT_TRUE(runner.runUntil([&] { return client.hasReceived("\r\n\r\n") || client.isPeerDisconnected(); }));
        EXPECT_TRUE(client.hasReceived("HTTP/1.1 503")) << client.received;
    }
}

// Guards against callers in the middle of their request that get neither a response nor a refusal.
TEST_F(ServerShutdownTest, IncompleteRequestsAreRefused)
{
    onEvent = {};
    for (const std::string_view part :
        {"GET / HTT", "GET / HTTP/1.1\r\nHo", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"}) {
        makeServer({});
        RawSocket client = connect();
        client.send(part);
        runner.runTurns(10);
        server->startShutdown();
        EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
        EXPECT_TRUE(client.hasReceived("HTTP/1.1 408 ")) << part;
        EXPECT_TRUE(client.hasReceived("\r\nSaltvane-Outcome: not-run\r\n")) << client.received;
        client.close();
        EXPECT_TRUE(waitShutDown());
    }
}

// Guards against refusals that the end of the process destroys with a reset.
TEST_F(ServerShutdownTest, RefusalsSurviveTheEndOfTheServer)
{
    onEvent = {};
    RawSocket client = connect();
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    ASSERT_TRUE(waitStarted(1));
    client.isReading = false;
    server->startShutdown();
    ASSERT_TRUE(runner.runUntil([&] { return counters.closesFor(model::CloseReason::Stopping) > 0; }));
    server.reset();
    client.isReading = true;
    EXPECT_TRUE(client.isPeerDisconnected());
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 408 ")) << client.received;
    EXPECT_FALSE(client.peerReset);
}

} // namespace
} // namespace saltvane::net::tests
