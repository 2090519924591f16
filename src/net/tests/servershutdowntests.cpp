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
        respondAtOnce({.status = 503, .bodyLength = 0});
    }
    [[nodiscard]] bool waitShutDown()
    {
        return runner.runUntil([&] { return server->isShutDown(); });
    }
};

// Guards against requests that wait in the socket of a kept connection when the process ends, and are reset unread.
TEST_F(ServerShutdownTest, RequestThatWaitsUnreadIsAnswered)
{
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
    for (int i = 0; i < 30; ++i) {
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
    EXPECT_TRUE(waitShutDown());
}

} // namespace
} // namespace saltvane::net::tests
