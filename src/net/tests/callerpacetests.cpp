/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/httpserverfixture.h"

#include <deque>

namespace saltvane::net::tests {
namespace {

constexpr std::string_view ChunkedPost = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr size_t KernelBufferBytes = 16 * 1024 * 1024; ///< More than a pair of loopback sockets buffers.

std::string chunk(size_t bytes)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
    return size + std::string(bytes, 'x') + "\r\n";
}

/// Callers that do not end their bodies or do not read.
class CallerPaceTest : public HttpServerTest {
protected:
    /// Sends chunks until the server closes the connection. Returns the number of bytes that were sent.
    size_t pourUntilClosed(RawSocket& client)
    {
        const std::string part = chunk(64 * 1024);
        size_t queued = 0;
        EXPECT_TRUE(runner.runUntil([&] {
            if (client.unsent() < part.size()) {
                client.send(part);
                queued += part.size();
            }
            return client.isPeerDisconnected() && client.unsent() > 0;
        }));
        return queued - client.unsent();
    }
    [[nodiscard]] bool areAllClosed()
    {
        return runner.runUntil([&] { return server->openConnections() == 0; });
    }
    /// Grants the core's window for all that arrives.
    void takeBodies()
    {
        onEvent = [this](const host::Event& event) {
            const auto* http = std::get_if<HttpEvent>(&event);
            if (const auto* body = http == nullptr ? nullptr : std::get_if<HttpRequestBody>(http); body != nullptr) {
                bodyBytes += body->bytes.size();
                server->execute(HttpRequestWindow {.handle = body->handle, .bytes = body->bytes.size()});
                log.events.clear();
            }
        };
    }
    void waitFor(Duration time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        (void)runner.runUntil([&] { return std::chrono::steady_clock::now() > end; });
    }

    uint64_t bodyBytes = 0;
};

// Guards against a refused body without end, which was read for as long as it lasted and never got its response.
TEST_F(CallerPaceTest, RefusedBodyWithoutEndIsClosedAfterItsResponse)
{
    constexpr uint64_t DiscardedBytes = 1024 * 1024;
    makeServer({}, {.discardedBytes = DiscardedBytes, .lingerTime = 200ms});
    respondAtOnce({.status = 429, .bodyLength = 2, .bytes = "no"});
    auto client = connect();
    client.send(ChunkedPost);
    EXPECT_LT(pourUntilClosed(client), DiscardedBytes + KernelBufferBytes);
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 429"));
    EXPECT_TRUE(client.hasReceived("\r\n\r\nno"));
    EXPECT_TRUE(areAllClosed());
    EXPECT_EQ(log.http<HttpResponseDone>().size(), 1u);
    EXPECT_TRUE(log.http<HttpRequestAborted>().empty());
}

// Guards against the same at an address whose response is made by the server itself.
TEST_F(CallerPaceTest, BodyWithoutEndOfAMetricsRequestIsClosedAfterItsResponse)
{
    makeServer({}, {.discardedBytes = 1024 * 1024, .lingerTime = 200ms});
    auto client = connect();
    client.send("GET /metrics HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    (void)pourUntilClosed(client);
    EXPECT_TRUE(client.hasReceived("\r\n\r\nup 1\n"));
    EXPECT_TRUE(areAllClosed());
}

// Guards against a refused body that stops and holds its connection: only its bytes were limited, not its time.
TEST_F(CallerPaceTest, RefusedBodyThatStopsIsClosedAfterItsResponse)
{
    makeServer({.headerTimeout = 200ms}, {.discardTime = 100ms, .lingerTime = 100ms});
    respondAtOnce({.status = 429, .bodyLength = 2, .bytes = "no"});
    auto client = connect();
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nabc");
    EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("\r\n\r\nno"));
    EXPECT_TRUE(areAllClosed());
}

// Guards against a refusal that the caller loses: closing with unread bytes of its body resets the connection.
TEST_F(CallerPaceTest, CallerThatSendsItsWholeBodyFirstReadsTheRefusal)
{
    makeServer({.requestBodyBytes = 1000});
    for (const bool isChunked : {false, true}) {
        constexpr size_t BodyBytes = 512 * 1024;
        auto client = connect();
        client.isReading = false;
        const std::string body(BodyBytes, 'x');
        client.send(isChunked
                ? std::string(ChunkedPost) + chunk(BodyBytes) + "0\r\n\r\n"
                : "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" + body);
        ASSERT_TRUE(runner.runUntil([&] {
            client.pump();
            return client.unsent() == 0;
        }));
        client.isReading = true;
        ASSERT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
        EXPECT_TRUE(client.hasReceived("HTTP/1.1 413")) << isChunked;
        EXPECT_TRUE(client.hasReceived("body-too-large")) << isChunked;
    }
    EXPECT_TRUE(areAllClosed());
}

// Guards against bodies that never end: no time limit applied once the head was read, or a byte now and then met it.
TEST_F(CallerPaceTest, BodyThatStopsIsAbortedAndAnswered)
{
    makeServer({.idleTimeout = 200ms, .headerTimeout = 200ms}, {.lingerTime = 100ms});
    auto client = connect();
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    ASSERT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 408"));
    EXPECT_TRUE(client.hasReceived("Saltvane-Outcome: not-run"));
    EXPECT_EQ(log.http<HttpRequestAborted>().size(), 1u);
    EXPECT_TRUE(areAllClosed());
    EXPECT_EQ(log.http<HttpRequestAborted>().size(), 1u);
}

// Guards against the same with a byte now and then, which no limit on pauses ends.
TEST_F(CallerPaceTest, BodyThatTricklesIsAbortedAndAnswered)
{
    makeServer(
        {.headerTimeout = 100ms}, {.lingerTime = 100ms, .minBodyBytesPerSecond = 1'000'000, .bodyRateWindow = 300ms});
    auto client = connect();
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
    ASSERT_TRUE(runner.runUntil([&] {
        if (client.unsent() == 0)
            client.send("x");
        return client.isPeerDisconnected();
    }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 408"));
    EXPECT_EQ(log.http<HttpRequestAborted>().size(), 1u);
    EXPECT_TRUE(areAllClosed());
}

// Guards against callers that are cut off because the core takes its time with their body.
TEST_F(CallerPaceTest, TimeInWhichTheCoreWithholdsTheWindowDoesNotCount)
{
    makeServer(
        {.idleTimeout = 300ms, .headerTimeout = 200ms}, {.minBodyBytesPerSecond = 200'000, .bodyRateWindow = 400ms});
    const std::string body(InitialBodyWindow + 1000, 'x');
    auto client = connect();
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    ASSERT_TRUE(runner.runUntil([&] {
        client.pump();
        return bodyReceived().size() == InitialBodyWindow;
    }));
    waitFor(1s);
    EXPECT_TRUE(log.http<HttpRequestAborted>().empty());
    server->execute(HttpRequestWindow {.handle = handleOf(0), .bytes = body.size()});
    ASSERT_TRUE(runner.runUntil([&] { return bodyReceived().size() == body.size(); }));
    waitFor(1s); // The core works.
    server->execute(HttpRespond {.handle = handleOf(0), .bodyLength = 2, .bytes = "ok"});
    EXPECT_TRUE(runner.runUntil([&] { return client.hasReceived("\r\n\r\nok"); }));
}

// Guards against a caller that reads nothing of a large response and holds it for ever.
TEST_F(CallerPaceTest, CallerThatDoesNotReadIsDisconnected)
{
    makeServer({.headerTimeout = 100ms}, {.responseStallTime = 300ms});
    respondAtOnce({.bodyLength = 64 * 1024 * 1024, .bytes = std::string(64 * 1024 * 1024, 'y')});
    auto client = connect();
    client.isReading = false;
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    EXPECT_TRUE(areAllClosed());
    EXPECT_EQ(log.http<HttpRequestAborted>().size(), 1u);
}

// Guards against callers that fill the event loop: what one turn reads of their bodies has to be bounded, so that
// links, timers and other servers have their turn.
TEST_F(CallerPaceTest, BodiesTakeABoundedPartOfATurn)
{
    constexpr uint64_t MaxTurnBytes = 1024 * 1024;
    makeServer({});
    takeBodies();
    std::deque<RawSocket> clients;
    for (int i = 0; i < 40; ++i)
        clients.push_back(connect());
    for (RawSocket& client : clients)
        client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n" + std::string(4'000'000, 'x'));
    uint64_t most = 0;
    ASSERT_TRUE(runner.runUntil([&] {
        for (RawSocket& client : clients)
            client.pump();
        const uint64_t before = bodyBytes;
        runner.runTurns(1);
        most = std::max(most, bodyBytes - before);
        return bodyBytes > 40 * 1'000'000;
    }));
    EXPECT_LT(most, MaxTurnBytes);
}

// Guards against the same with chunks of one byte, which cost as much as large ones.
TEST_F(CallerPaceTest, SmallChunksTakeABoundedPartOfATurn)
{
    constexpr uint64_t MaxTurnChunks = 4096;
    makeServer({});
    takeBodies();
    std::string chunks;
    for (int i = 0; i < 50'000; ++i)
        chunks += "1\r\nx\r\n";
    std::deque<RawSocket> clients;
    for (int i = 0; i < 20; ++i)
        clients.push_back(connect());
    for (RawSocket& client : clients)
        client.send(std::string(ChunkedPost) + chunks);
    uint64_t most = 0;
    ASSERT_TRUE(runner.runUntil([&] {
        const uint64_t before = bodyBytes;
        runner.runTurns(1);
        most = std::max(most, bodyBytes - before);
        return bodyBytes > 200'000;
    }));
    EXPECT_LT(most, MaxTurnChunks);
}

// Guards against half-sent requests that take all connections, so that ordinary callers are refused.
TEST_F(CallerPaceTest, ConnectionsThatStandStillMakeRoom)
{
    makeServer({.connections = 3}, {.minStandstill = 100ms});
    auto working = connect();
    working.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"); // Passed on; the longest of all.
    ASSERT_TRUE(waitStarted(1));
    auto body = connect();
    body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    ASSERT_TRUE(waitStarted(2));
    auto head = connect();
    head.send("GET / HTTP/1.1\r\n");
    ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 3; }));
    waitFor(200ms);

    auto first = connect();
    first.send(PlainGet);
    ASSERT_TRUE(waitStarted(3));
    EXPECT_TRUE(runner.runUntil([&] { return body.isPeerDisconnected(); }));
    EXPECT_TRUE(body.hasReceived("HTTP/1.1 408"));
    EXPECT_EQ(log.http<HttpRequestAborted>().size(), 1u);
    EXPECT_FALSE(head.isPeerDisconnected());
    auto second = connect();
    second.send(PlainGet);
    ASSERT_TRUE(waitStarted(4));
    EXPECT_TRUE(runner.runUntil([&] { return head.isPeerDisconnected(); }));

    auto refused = connect(); // All others have a request at work.
    EXPECT_TRUE(exchange(refused, PlainGet, "too-many-connections"));
    EXPECT_TRUE(refused.hasReceived("\r\nRetry-After: 1\r\n"));
    server->execute(HttpRespond {.handle = handleOf(0), .bodyLength = 2, .bytes = "ok"});
    EXPECT_TRUE(runner.runUntil([&] { return working.hasReceived("\r\n\r\nok"); }));
}

// Guards against requests that are cut off while a target works: a core that passes bodies on may have started one.
TEST_F(CallerPaceTest, BodiesThatMayHaveRunDoNotMakeRoom)
{
    isBodyTakenWhole = false;
    makeServer({.connections = 1, .idleTimeout = 1s}, {.lingerTime = 100ms, .minStandstill = 100ms});
    auto client = connect();
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    ASSERT_TRUE(runner.runUntil([&] { return bodyReceived() == "abc"; }));
    waitFor(200ms);
    auto refused = connect();
    EXPECT_TRUE(exchange(refused, PlainGet, "too-many-connections"));
    ASSERT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 408"));
    EXPECT_TRUE(client.hasReceived("Saltvane-Outcome: unknown"));
}

// Guards against callers that keep all connections with a byte of their body now and then.
TEST_F(CallerPaceTest, BodiesThatTrickleMakeRoom)
{
    makeServer({.connections = 1}, {.minStandstill = 100ms});
    respondAtOnce({.bodyLength = 2, .bytes = "ok"});
    auto trickle = connect();
    trickle.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
    for (int byte = 0; byte < 10; ++byte) {
        trickle.send("a");
        waitFor(20ms);
    }
    auto caller = connect();
    EXPECT_TRUE(exchange(caller, PlainGet, "\r\n\r\nok"));
}

// Guards against a crowd that also takes the connections kept for refusals: none was accepted then, and none closed.
TEST_F(CallerPaceTest, CrowdOfSilentConnectionsMakesRoomForACaller)
{
    makeServer({.connections = 16, .headerTimeout = 30s}, {.minStandstill = 100ms});
    respondAtOnce({.bodyLength = 2, .bytes = "ok"});
    std::deque<RawSocket> crowd;
    for (int i = 0; i < 100; ++i)
        crowd.push_back(connect());
    ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() >= 16; }));
    waitFor(200ms);
    auto caller = connect();
    EXPECT_TRUE(exchange(caller, PlainGet, "\r\n\r\nok"));
}

// Guards against callers that are refused because the connections of a crowd are all too new to be closed.
TEST_F(CallerPaceTest, RequestOverTheLimitIsServedWhileOtherConnectionsAreSilent)
{
    makeServer({.connections = 16, .headerTimeout = 30s}, {.minStandstill = 10s});
    respondAtOnce({.bodyLength = 2, .bytes = "ok"});
    std::deque<RawSocket> crowd;
    for (int i = 0; i < 16; ++i)
        crowd.push_back(connect());
    ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 16; }));
    for (int i = 0; i < 4; ++i) {
        auto caller = connect();
        EXPECT_TRUE(exchange(caller, PlainGet, "\r\n\r\nok")) << caller.received;
        EXPECT_TRUE(runner.runUntil([&] { return caller.isPeerDisconnected(); }));
        EXPECT_TRUE(runner.runUntil([&] { return server->openConnections() == 16; }));
    }
}

// Guards against requests over the limit that take all connections kept for refusals, so that others are not refused at
// once.
TEST_F(CallerPaceTest, RequestsOverTheLimitLeaveConnectionsForRefusals)
{
    makeServer({.connections = 16, .headerTimeout = 30s}, {.minStandstill = 10s});
    std::deque<RawSocket> crowd;
    for (int i = 0; i < 16; ++i)
        crowd.push_back(connect());
    ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 16; }));
    auto served = connect();
    served.send(PlainGet);
    ASSERT_TRUE(runner.runUntil([&] { return log.http<HttpRequestStarted>().size() == 1; }));
    auto refused = connect();
    EXPECT_TRUE(exchange(refused, PlainGet, "too-many-connections"));
    EXPECT_EQ(log.http<HttpRequestStarted>().size(), 1u);
}

} // namespace
} // namespace saltvane::net::tests
