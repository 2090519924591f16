/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/httpserverfixture.h"

namespace saltvane::net::tests {
namespace {

class HttpRequestTest : public HttpServerTest { };

TEST_F(HttpRequestTest, ReportsTheRequestUnchanged)
{
    auto client = connect();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    const auto started = log.http<HttpRequestStarted>().front();
    EXPECT_EQ(started.method, "GET");
    EXPECT_EQ(started.path, "/a%20b?x=1&y=%2F");
    EXPECT_EQ(started.remoteAddress, "127.0.0.1");
    EXPECT_EQ(started.bodyLength, 0u);
    ASSERT_EQ(started.headers.size(), 3u);
    EXPECT_EQ(started.headers[1], (model::Header {"X-Two", "1"}));
    EXPECT_EQ(started.headers[2], (model::Header {"X-Two", "2"}));
}

TEST_F(HttpRequestTest, PassesBodiesOfKnownLengthAndInChunks)
{
    auto client = connect();
    client.send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhel");
    ASSERT_TRUE(runner.runUntil([&] { return bodyReceived() == "hel"; }));
    EXPECT_FALSE(log.http<HttpRequestBody>().back().isLast);
    client.send("lo");
    ASSERT_TRUE(runner.runUntil([&] { return bodyReceived() == "hello"; }));
    EXPECT_TRUE(log.http<HttpRequestBody>().back().isLast);
    EXPECT_EQ(log.http<HttpRequestStarted>().back().bodyLength, 5u);

    auto second = connect();
    second.send("PUT /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(
        runner.runUntil([&] { return bodyReceived() == "helloabcde" && log.http<HttpRequestBody>().back().isLast; }));
    EXPECT_FALSE(log.http<HttpRequestStarted>().back().bodyLength.has_value());
}

TEST_F(HttpRequestTest, BodyWaitsForTheWindow)
{
    const std::string body(InitialBodyWindow * 3, 'x');
    auto client = connect();
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto pumped = [&](size_t size) {
        return runner.runUntil([&] {
            client.pump();
            return bodyReceived().size() >= size;
        });
    };
    ASSERT_TRUE(pumped(InitialBodyWindow));
    for (int i = 0; i < 20; ++i) {
        client.pump();
        runner.runTurns(1);
    }
    EXPECT_EQ(bodyReceived().size(), InitialBodyWindow);
    server->execute(HttpRequestWindow {.handle = handleOf(0), .bytes = 1000});
    ASSERT_TRUE(pumped(InitialBodyWindow + 1000));
    runner.runTurns(5);
    EXPECT_EQ(bodyReceived().size(), InitialBodyWindow + 1000);
    server->execute(HttpRequestWindow {.handle = handleOf(0), .bytes = body.size()});
    ASSERT_TRUE(pumped(body.size()));
    EXPECT_TRUE(log.http<HttpRequestBody>().back().isLast);
}

TEST_F(HttpRequestTest, EarlyRefusalDrainsTheBodyAndResponds)
{
    respondAtOnce({.status = 429, .bodyLength = 0});
    const std::string body(InitialBodyWindow * 2, 'x');
    auto client = connect();
    const std::string request
        = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    ASSERT_TRUE(exchange(client, request, "HTTP/1.1 429"));
    EXPECT_TRUE(log.http<HttpRequestBody>().empty());
    EXPECT_FALSE(client.isPeerDisconnected());
}

TEST_F(HttpRequestTest, ContinueIsSentUnlessTheRequestIsRefused)
{
    auto client = connect();
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
    client.send(head);
    ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("HTTP/1.1 100 Continue\r\n\r\n"); }));
    client.send("abc");
    ASSERT_TRUE(runner.runUntil([&] { return bodyReceived() == "abc"; }));

    respondAtOnce({.status = 503, .bodyLength = 0});
    auto refused = connect();
    ASSERT_TRUE(exchange(refused, head, "HTTP/1.1 503"));
    EXPECT_FALSE(refused.hasReceived("100 Continue"));
}

TEST_F(HttpRequestTest, CallerDisconnectsWhileItsBodyWaits)
{
    // A close is detected only if the bytes before it fit into the socket's buffer; a reset is always detected.
    const size_t fewBeyondWindow = InitialBodyWindow + 1000;
    const size_t manyBeyondWindow = InitialBodyWindow * 16;
    for (const size_t size : {fewBeyondWindow, manyBeyondWindow}) {
        log.events.clear();
        auto client = connect();
        const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size + 1);
        client.send(head + "\r\n\r\n" + std::string(size, 'x'));
        ASSERT_TRUE(runner.runUntil([&] {
            client.pump();
            return bodyReceived().size() == InitialBodyWindow && (client.unsent() == 0 || size == manyBeyondWindow);
        }));
        if (size == fewBeyondWindow)
            client.close();
        else
            client.closeWithReset();
        ASSERT_TRUE(runner.runUntil([&] { return log.http<HttpRequestAborted>().size() == 1; })) << size;
        EXPECT_TRUE(runner.runUntil([&] { return server->openConnections() == 0; }));
        EXPECT_EQ(bodyReceived().size(), InitialBodyWindow);
    }
}

TEST_F(HttpRequestTest, RefusesAmbiguousFraming)
{
    const std::vector<std::string> heads {
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Host: other\r\n",
        "X-A\x01: 1\r\n",
        "Content-Length : 3\r\n",
    };
    uint64_t count = 0;
    for (const std::string& head : heads) {
        auto client = connect();
        client.send("POST /secret HTTP/1.1\r\nHost: h\r\n" + head + "\r\nabc");
        ASSERT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); })) << head;
        EXPECT_TRUE(client.hasReceived("HTTP/1.1 400") || client.hasReceived("HTTP/1.1 413"))
            << head << client.received;
        ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 0; }));
        EXPECT_GT(badRequests(), count) << head;
        count = badRequests();
    }
    EXPECT_TRUE(log.http<HttpRequestStarted>().empty());
}

TEST_F(HttpRequestTest, RefusesBadRequestLines)
{
    const std::vector<std::string> lines {"GET /a b HTTP/1.1", "GET / HTTP/1.1\r\nno colon", "GET http:/x HTTP/1.1",
        "CONNECT h:1 HTTP/1.1", "GET /#f HTTP/1.1", "nonsense", "GET / HTTP/3.7"};
    uint64_t count = 0;
    for (const std::string& line : lines) {
        auto client = connect();
        client.send(line + "\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); })) << line;
        ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 0; }));
        EXPECT_GT(badRequests(), count) << line << client.received;
        count = badRequests();
    }
    EXPECT_TRUE(log.http<HttpRequestStarted>().empty());
}

TEST_F(HttpRequestTest, AbsoluteTargetBecomesAPath)
{
    auto client = connect();
    client.send("GET http://h/x?y=1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitStarted(1));
    EXPECT_EQ(log.http<HttpRequestStarted>().front().path, "/x?y=1");
}

TEST_F(HttpRequestTest, EnforcesLimits)
{
    server.reset();
    makeServer({.requestHeaderBytes = 4096, .requestBodyBytes = 100, .connections = 2});
    auto large = connect();
    ASSERT_TRUE(
        exchange(large, "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(8000, 'x') + "\r\n\r\n", "HTTP/1.1 431"));
    large.close();
    ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 0; }));
    auto body = connect();
    ASSERT_TRUE(exchange(body, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", "HTTP/1.1 413"));
    body.close();
    ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 0; }));
    auto chunked = connect();
    chunked.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n200\r\n" + std::string(0x200, 'x'));
    ASSERT_TRUE(runner.runUntil([&] { return log.http<HttpRequestAborted>().size() == 1; }));
    ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 0; }));
    auto first = connect();
    auto second = connect();
    first.send(PlainGet); // A connection at whose request the core works is not closed for a new one.
    second.send(PlainGet);
    ASSERT_TRUE(waitStarted(3));
    auto third = connect();
    ASSERT_TRUE(exchange(third, PlainGet, "too-many-connections"));
    EXPECT_TRUE(third.hasReceived("HTTP/1.1 503"));
    EXPECT_TRUE(runner.runUntil([&] { return third.isPeerDisconnected(); }));
    EXPECT_EQ(badRequests(), 3u);
}

TEST_F(HttpRequestTest, SlowHeadersCloseTheConnection)
{
    server.reset();
    makeServer({.headerTimeout = 50ms});
    auto idle = connect();
    auto trickling = connect();
    trickling.send("GET / HTTP/1.1\r\n");
    EXPECT_TRUE(runner.runUntil([&] {
        if (!trickling.isPeerDisconnected())
            trickling.send("X: y\r\n");
        return idle.isPeerDisconnected() && trickling.isPeerDisconnected();
    }));
    EXPECT_TRUE(log.http<HttpRequestStarted>().empty());
}

} // namespace
} // namespace saltvane::net::tests
