/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/httpserverfixture.h"

#include <malloc.h>

namespace saltvane::net::tests {
namespace {

size_t allocatedBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

TEST_F(HttpServerTest, RespondsImmediatelyAndKeepsTheConnection)
{
    respondAtOnce({.headers = {{"X-A", "1"}, {"X-A", "2"}, {"Content-Length", "99"}}, .bodyLength = 2, .bytes = "ok"});
    auto client = connect();
    ASSERT_TRUE(exchange(client, PlainGet, "\r\n\r\nok"));
    EXPECT_TRUE(client.hasReceived("X-A: 1\r\nX-A: 2\r\n"));
    EXPECT_TRUE(client.hasReceived("Content-Length: 2\r\n"));
    EXPECT_FALSE(client.hasReceived("99"));
    client.received.clear();
    ASSERT_TRUE(exchange(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "\r\n\r\nok"));
    client.received.clear();
    ASSERT_TRUE(exchange(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "\r\n\r\nok"));
    EXPECT_FALSE(client.isPeerDisconnected());
    EXPECT_TRUE(runner.runUntil([&] { return log.http<HttpResponseDone>().size() == 3; }));
    EXPECT_EQ(server->openConnections(), 1u);
}

TEST_F(HttpServerTest, ForwardsHeadersOnce)
{
    respondAtOnce(
        {.headers = {{"Date", "Mon, 01 Jan 2024 00:00:00 GMT"}, {"X-Tab", "a\tb"}, {"Transfer-Encoding", "x"}},
            .bodyLength = 0});
    auto client = connect();
    ASSERT_TRUE(exchange(client, PlainGet, "\r\n\r\n"));
    EXPECT_TRUE(client.hasReceived("Date: Mon, 01 Jan 2024 00:00:00 GMT\r\n"));
    EXPECT_EQ(client.received.find("Date:"), client.received.rfind("Date:"));
    EXPECT_TRUE(client.hasReceived("X-Tab: a b\r\n"));
    EXPECT_FALSE(client.hasReceived("Transfer-Encoding"));
}

TEST_F(HttpServerTest, RespondsLater)
{
    auto client = connect();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    server->execute(HttpRespond {.handle = handleOf(0), .status = 404, .bodyLength = 4, .bytes = "none"});
    ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("\r\n\r\nnone"); }));
    EXPECT_TRUE(client.hasReceived("HTTP/1.1 404"));
    EXPECT_TRUE(runner.runUntil([&] { return log.http<HttpResponseDone>().size() == 1; }));
}

TEST_F(HttpServerTest, StreamsAResponseInParts)
{
    auto client = connect();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    server->execute(HttpRespond {.handle = handleOf(0), .bodyLength = 6, .bytes = "ab", .isLast = false});
    ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("\r\n\r\nab"); }));
    server->execute(HttpResponseBody {.handle = handleOf(0), .bytes = "cd"});
    ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("abcd"); }));
    EXPECT_TRUE(log.http<HttpResponseDone>().empty());
    server->execute(HttpResponseBody {.handle = handleOf(0), .bytes = "ef", .isLast = true});
    ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("abcdef"); }));
    ASSERT_TRUE(runner.runUntil([&] { return log.http<HttpResponseDone>().size() == 1; }));
    uint64_t progress = 0;
    for (const auto& part : log.http<HttpResponseProgress>())
        progress += part.bytes;
    EXPECT_EQ(progress, 6u);
}

TEST_F(HttpServerTest, StreamsAChunkedResponse)
{
    auto client = connect();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    server->execute(HttpRespond {.handle = handleOf(0), .bytes = "abc", .isLast = false});
    ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("3\r\nabc\r\n"); }));
    server->execute(HttpResponseBody {.handle = handleOf(0), .isLast = true});
    ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("0\r\n\r\n"); }));
    EXPECT_TRUE(client.hasReceived("Transfer-Encoding: chunked"));
    EXPECT_FALSE(client.isPeerDisconnected());
}

// Guards against memory that grows with all that was sent of a response, while its caller is always behind.
TEST_F(HttpServerTest, StreamedResponsesHoldOnlyWhatIsUnsent)
{
    constexpr size_t UnsentBytes = 16 * 1024 * 1024; // More than sockets buffer.
    constexpr uint64_t TotalBytes = 64 * 1024 * 1024;
    constexpr size_t MaxGrowthBytes = 4 * 1024 * 1024;
    auto client = connect();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    const HttpHandle handle = handleOf(0);
    server->execute(HttpRespond {.handle = handle, .isLast = false});
    server->execute(HttpResponseBody {.handle = handle, .bytes = std::string(UnsentBytes, 'x')});
    const size_t before = allocatedBytes();
    uint64_t sent = 0;
    ASSERT_TRUE(runner.runUntil([&] {
        (void)client.isPeerDisconnected();
        client.received.clear();
        for (const auto& part : log.http<HttpResponseProgress>()) {
            sent += part.bytes;
            server->execute(HttpResponseBody {.handle = handle, .bytes = std::string(part.bytes, 'x')});
        }
        log.events.clear();
        return sent >= TotalBytes;
    }));
    EXPECT_LT(allocatedBytes(), before + MaxGrowthBytes);
}

TEST_F(HttpServerTest, AbortedResponseIsVisiblyIncomplete)
{
    for (const bool isChunked : {true, false}) {
        auto client = connect();
        client.send(PlainGet);
        const size_t index = isChunked ? 0 : 1;
        ASSERT_TRUE(waitStarted(index + 1));
        const auto length = isChunked ? std::nullopt : std::optional<uint64_t>(10);
        server->execute(HttpRespond {.handle = handleOf(index), .bodyLength = length, .bytes = "abc", .isLast = false});
        ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("abc"); }));
        server->execute(HttpAbort {.handle = handleOf(index)});
        ASSERT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
        EXPECT_FALSE(client.hasReceived("\r\n0\r\n"));
    }
    EXPECT_TRUE(log.http<HttpResponseDone>().empty());
    EXPECT_TRUE(log.http<HttpRequestAborted>().empty());
}

TEST_F(HttpServerTest, ResponseShorterThanDeclaredIsAborted)
{
    auto client = connect();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    server->execute(HttpRespond {.handle = handleOf(0), .bodyLength = 10, .bytes = "abc", .isLast = true});
    ASSERT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    ASSERT_TRUE(runner.runUntil([&] { return log.http<HttpRequestAborted>().size() == 1; }));
    EXPECT_TRUE(log.http<HttpResponseDone>().empty());
}

TEST_F(HttpServerTest, ResponseLongerThanDeclaredIsAborted)
{
    auto client = connect();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    server->execute(HttpRespond {.handle = handleOf(0), .bodyLength = 4, .bytes = "abc", .isLast = false});
    ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("abc"); }));
    server->execute(HttpResponseBody {.handle = handleOf(0), .bytes = "de", .isLast = true});
    EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
}

TEST_F(HttpServerTest, ChunkedResponseToHttp10IsNotSent)
{
    auto client = connect();
    client.send("GET / HTTP/1.0\r\n\r\n");
    ASSERT_TRUE(waitStarted(1));
    server->execute(HttpRespond {.handle = handleOf(0), .bytes = "abc", .isLast = false});
    ASSERT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
    EXPECT_EQ(client.received, "");
    EXPECT_EQ(log.http<HttpRequestAborted>().size(), 1u);
}

TEST_F(HttpServerTest, HeadHasLengthAndNoBody)
{
    respondAtOnce({.headers = {{"Content-Length", "1234"}}, .bodyLength = 0});
    auto client = connect();
    ASSERT_TRUE(exchange(client, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"));
    EXPECT_TRUE(client.hasReceived("Content-Length: 1234\r\n"));
    client.received.clear();
    ASSERT_TRUE(exchange(client, PlainGet, "HTTP/1.1 200")); // The connection is still usable.
    EXPECT_TRUE(runner.runUntil([&] { return log.http<HttpResponseDone>().size() == 2; }));
}

TEST_F(HttpServerTest, NoContentAndNotModifiedHaveNoBody)
{
    auto client = connect();
    for (const int status : {204, 304}) {
        client.received.clear();
        respondAtOnce({.status = status, .bodyLength = 0});
        ASSERT_TRUE(exchange(client, PlainGet, "\r\n\r\n"));
        EXPECT_TRUE(client.received.ends_with("\r\n\r\n"));
        EXPECT_TRUE(client.hasReceived("HTTP/1.1 " + std::to_string(status)));
        EXPECT_FALSE(client.hasReceived("Transfer-Encoding"));
    }
}

TEST_F(HttpServerTest, CallerDisconnectsWhileTheCoreWorks)
{
    auto closing = connect();
    closing.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    closing.close();
    EXPECT_TRUE(runner.runUntil([&] { return log.http<HttpRequestAborted>().size() == 1; }));
    auto resetting = connect();
    resetting.send(PlainGet);
    ASSERT_TRUE(waitStarted(2));
    resetting.closeWithReset();
    EXPECT_TRUE(runner.runUntil([&] { return log.http<HttpRequestAborted>().size() == 2; }));
    // A response after the disconnect is ignored.
    server->execute(HttpRespond {.handle = handleOf(0), .bodyLength = 0});
    ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 0; }));
    EXPECT_EQ(log.http<HttpRequestAborted>().size(), 2u);
    EXPECT_TRUE(log.http<HttpResponseDone>().empty());
}

TEST_F(HttpServerTest, CallerDisconnectsDuringTheBodies)
{
    auto sending = connect();
    sending.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    ASSERT_TRUE(runner.runUntil([&] { return bodyReceived() == "abc"; }));
    sending.close();
    ASSERT_TRUE(runner.runUntil([&] { return log.http<HttpRequestAborted>().size() == 1; }));

    auto receiving = connect();
    receiving.send(PlainGet);
    ASSERT_TRUE(waitStarted(2));
    server->execute(HttpRespond {.handle = handleOf(1), .bytes = "abc", .isLast = false});
    ASSERT_TRUE(runner.runUntil([&] { return receiving.hasReceived("abc"); }));
    receiving.close();
    ASSERT_TRUE(runner.runUntil([&] { return log.http<HttpRequestAborted>().size() == 2; }));
    EXPECT_TRUE(log.http<HttpResponseDone>().empty());
}

TEST_F(HttpServerTest, SlowReaderBuffersABoundedAmount)
{
    auto client = connect();
    client.isReading = false;
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    const std::string part(1024 * 1024, 'y');
    server->execute(
        HttpRespond {.handle = handleOf(0), .bodyLength = 64 * part.size(), .bytes = part, .isLast = false});
    const auto progress = [&] {
        uint64_t sum = 0;
        for (const auto& step : log.http<HttpResponseProgress>())
            sum += step.bytes;
        return sum;
    };
    for (int i = 1; i < 64; ++i)
        server->execute(HttpResponseBody {.handle = handleOf(0), .bytes = part, .isLast = i == 63});
    runner.runTurns(50);
    EXPECT_LT(progress(), 32 * part.size());
    client.isReading = true;
    ASSERT_TRUE(runner.runUntil([&] {
        client.pump();
        return !log.http<HttpResponseDone>().empty();
    }));
    EXPECT_EQ(progress(), 64 * part.size());
}

TEST_F(HttpServerTest, WaitingKeepsTheLoopIdle)
{
    auto forAnswer = connect();
    forAnswer.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    EXPECT_LT(runner.turnsPerTick(), 3);
    auto forWindow = connect();
    forWindow.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + std::string(500'000, 'x'));
    ASSERT_TRUE(runner.runUntil([&] {
        forWindow.pump();
        return bodyReceived().size() == InitialBodyWindow;
    }));
    EXPECT_LT(runner.turnsPerTick(), 3);
    auto forBody = connect();
    forBody.send(PlainGet);
    ASSERT_TRUE(waitStarted(3));
    server->execute(HttpRespond {.handle = handleOf(2), .bytes = "abc", .isLast = false});
    ASSERT_TRUE(runner.runUntil([&] { return forBody.hasReceived("abc"); }));
    EXPECT_LT(runner.turnsPerTick(), 3);
    auto forReader = connect();
    forReader.isReading = false;
    forReader.send(PlainGet);
    ASSERT_TRUE(waitStarted(4));
    server->execute(HttpRespond {.handle = handleOf(3), .bytes = std::string(30'000'000, 'y'), .isLast = false});
    (void)runner.turnsPerTick(); // Fills the socket's buffers.
    EXPECT_LT(runner.turnsPerTick(), 3);
    auto idle = connect();
    EXPECT_LT(runner.turnsPerTick(), 3);
}

TEST_F(HttpServerTest, MetricsAreServedWithoutTheCore)
{
    auto client = connect();
    ASSERT_TRUE(exchange(client, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\nup 1\n"));
    EXPECT_TRUE(log.events.empty());
}

TEST_F(HttpServerTest, StopsAcceptingAndFinishesOpenRequests)
{
    auto client = connect();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    server->stopAccepting();
    auto late = connect();
    EXPECT_TRUE(runner.runUntil([&] { return late.isPeerDisconnected(); }));
    server->execute(HttpRespond {.handle = handleOf(0), .bodyLength = 2, .bytes = "ok"});
    EXPECT_TRUE(runner.runUntil([&] { return client.hasReceived("\r\n\r\nok"); }));
    EXPECT_EQ(server->openConnections(), 1u);
}

TEST_F(HttpServerTest, NewLimitsApplyAtOnceAndToOpenConnections)
{
    makeServer({.idleTimeout = 999ms, .headerTimeout = 60s}); // Too short to be named to the caller.
    respondAtOnce({.status = 200, .bodyLength = 0});
    RawSocket resting = connect();
    resting.send(PlainGet);
    ASSERT_TRUE(runner.runUntil([&] { return resting.hasReceived("200 OK"); }));
    RawSocket stalled = connect();
    stalled.send("GET / HTTP/1.1\r\nHo");
    server->setCallerLimits({.headerBytes = 200, .headerTimeout = 100ms, .idleTimeout = 100ms});
    EXPECT_TRUE(runner.runUntil([&] { return resting.isPeerDisconnected() && stalled.isPeerDisconnected(); }));
    RawSocket large = connect();
    large.send("GET / HTTP/1.1\r\nHost: h\r\nX-A: " + std::string(300, 'a') + "\r\n\r\n");
    EXPECT_TRUE(runner.runUntil([&] { return large.hasReceived("HTTP/1.1 431"); }));
}

TEST_F(HttpServerTest, PipelinedRequestsAreAnsweredInOrder)
{
    auto client = connect();
    client.send(std::string(PlainGet) + PlainGet);
    ASSERT_TRUE(waitStarted(1));
    runner.runTurns(5);
    EXPECT_EQ(log.http<HttpRequestStarted>().size(), 1u);
    server->execute(HttpRespond {.handle = handleOf(0), .bodyLength = 5, .bytes = "first"});
    ASSERT_TRUE(waitStarted(2));
    server->execute(HttpRespond {.handle = handleOf(1), .bodyLength = 6, .bytes = "second"});
    ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("second"); }));
    EXPECT_LT(client.received.find("first"), client.received.find("second"));
}

TEST_F(HttpServerTest, DestructionWithOpenRequestsEmitsNoEvents)
{
    auto waiting = connect();
    waiting.send(PlainGet);
    auto streaming = connect();
    streaming.send(PlainGet);
    ASSERT_TRUE(waitStarted(2));
    server->execute(HttpRespond {.handle = handleOf(1), .bytes = "abc", .isLast = false});
    runner.runTurns(3);
    const size_t events = log.events.size();
    server.reset();
    EXPECT_EQ(log.events.size(), events);
}

} // namespace
} // namespace saltvane::net::tests
