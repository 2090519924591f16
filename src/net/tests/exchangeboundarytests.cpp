/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/httpserverfixture.h"

#include <array>
#include <cstdio>

namespace saltvane::net::tests {
namespace {

constexpr int SomeTurns = 10;
constexpr std::string_view InnerRequest = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view NextRequest = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";

std::string chunkOf(std::string_view bytes)
{
    constexpr size_t MaxSizeDigits = 16;
    std::array<char, MaxSizeDigits> size {};
    const int digits = std::snprintf(size.data(), size.size(), "%zx", bytes.size());
    return std::string(size.data(), static_cast<size_t>(digits)) + "\r\n" + std::string(bytes) + "\r\n";
}

std::string postWithLength(std::string_view body, const std::string& extraHeaders = {})
{
    return "POST /outer HTTP/1.1\r\nHost: h\r\n" + extraHeaders + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + std::string(body);
}

std::string postInChunks(std::string_view body)
{
    return "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkOf(body) + "0\r\n\r\n";
}

/// What belongs to one exchange on a caller's connection must not count for another one.
class ExchangeBoundaryTest : public HttpServerTest {
protected:
    [[nodiscard]] std::vector<std::string> startedPaths() const
    {
        std::vector<std::string> paths;
        for (const auto& started : log.http<HttpRequestStarted>())
            paths.push_back(started.path);
        return paths;
    }
    /// Requests that the core took as whole.
    [[nodiscard]] size_t wholeRequests() const
    {
        size_t count = 0;
        for (const auto& started : log.http<HttpRequestStarted>())
            count += started.bodyLength == 0 ? 1 : 0;
        for (const auto& part : log.http<HttpRequestBody>())
            count += part.isLast ? 1 : 0;
        return count;
    }
};

// Guards against responses of an earlier request that a caller takes for the one of its next request on the connection.
TEST_F(ExchangeBoundaryTest, LateActionsOfAnEndedExchangeDoNotCount)
{
    auto client = connect();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(1));
    server->execute(HttpRespond {.handle = handleOf(0), .bodyLength = 5, .bytes = "first"});
    ASSERT_TRUE(runner.runUntil([&] { return log.http<HttpResponseDone>().size() == 1; }));
    ASSERT_TRUE(client.hasReceived("first"));
    client.received.clear();
    client.send(PlainGet);
    ASSERT_TRUE(waitStarted(2));
    server->execute(HttpRespond {.handle = handleOf(0), .bodyLength = 4, .bytes = "late"});
    server->execute(HttpResponseBody {.handle = handleOf(0), .bytes = "late", .isLast = true});
    server->execute(HttpRequestWindow {.handle = handleOf(0), .bytes = 1});
    server->execute(HttpAbort {.handle = handleOf(0)});
    runner.runTurns(SomeTurns);
    client.pump();
    EXPECT_EQ(client.received, "");
    server->execute(HttpRespond {.handle = handleOf(1), .bodyLength = 6, .bytes = "second"});
    ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("\r\n\r\nsecond"); }));
    EXPECT_FALSE(client.hasReceived("late"));
}

// Guards against requests that nobody sent: the body of a request that was refused before it arrived is read as the
// next request.
TEST_F(ExchangeBoundaryTest, BodiesOfRefusedRequestsAreNotRequests)
{
    respondAtOnce({.status = 429, .bodyLength = 0});
    for (const std::string& request : {postWithLength(InnerRequest), postInChunks(InnerRequest)}) {
        log.events.clear();
        auto client = connect();
        const size_t headSize = request.find("\r\n\r\n") + 4;
        client.send(request.substr(0, headSize));
        ASSERT_TRUE(waitStarted(1));
        runner.runTurns(SomeTurns);
        client.send(request.substr(headSize));
        ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("HTTP/1.1 429"); })) << request;
        client.received.clear();
        ASSERT_TRUE(exchange(client, NextRequest, "HTTP/1.1 429")) << request;
        EXPECT_EQ(startedPaths(), (std::vector<std::string> {"/outer", "/next"})) << request;
    }
}

// Guards against the same where the caller doesn't wait for "100 Continue", or its request's head is invalid.
TEST_F(ExchangeBoundaryTest, BytesAfterAnEarlyRefusalAreNotRequests)
{
    respondAtOnce({.status = 429, .bodyLength = 0});
    const std::vector<std::string> requests {postWithLength(InnerRequest, "Expect: 100-continue\r\n"),
        postWithLength(InnerRequest, "Host: other\r\n"), postWithLength(InnerRequest, "Content-Length: 3\r\n"),
        "GET /outer HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(InnerRequest)};
    for (const std::string& request : requests) {
        for (const bool isAtOnce : {true, false}) {
            log.events.clear();
            auto client = connect();
            const size_t headSize = request.find("\r\n\r\n") + 4;
            client.send(isAtOnce ? request : request.substr(0, headSize));
            ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("HTTP/1.") || client.isPeerDisconnected(); }));
            if (!isAtOnce)
                client.send(request.substr(headSize));
            client.send(NextRequest);
            EXPECT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); })) << request;
            for (const std::string& path : startedPaths())
                EXPECT_EQ(path, "/outer") << request;
        }
    }
}

// Guards against pipelined requests that are run although their connection ends with the response before them, and
// against a response to them that the caller takes for the rest of an aborted one.
TEST_F(ExchangeBoundaryTest, NothingFollowsAnAbortedOrLastResponse)
{
    for (const bool isAborted : {true, false}) {
        log.events.clear();
        auto client = connect();
        client.send(std::string(PlainGet) + std::string(NextRequest));
        ASSERT_TRUE(waitStarted(1));
        const HttpHandle handle = handleOf(0);
        if (isAborted) {
            server->execute(HttpRespond {.handle = handle, .bytes = "abc", .isLast = false});
            ASSERT_TRUE(runner.runUntil([&] { return client.hasReceived("abc"); }));
            server->execute(HttpAbort {.handle = handle});
        } else {
            server->execute(
                HttpRespond {.handle = handle, .headers = {{"Connection", "close"}}, .bodyLength = 3, .bytes = "abc"});
        }
        ASSERT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); }));
        EXPECT_EQ(log.http<HttpRequestStarted>().size(), 1U);
        EXPECT_EQ(client.received.find("HTTP/1.1"), client.received.rfind("HTTP/1.1"));
    }
}

// Guards against responses that look whole to the caller although their source broke off: also where the head alone
// would be the whole response.
TEST_F(ExchangeBoundaryTest, AbortedResponsesOfAnyKindLookIncomplete)
{
    struct Kind {
        std::string method;
        int status;
        std::optional<uint64_t> length;
        std::string bytes;
    };
    const std::vector<Kind> kinds {{"GET", 200, std::nullopt, ""}, {"GET", 200, std::nullopt, "abc"},
        {"GET", 200, 10, ""}, {"GET", 200, 10, "abc"}, {"GET", 200, 0, ""}, {"HEAD", 200, 0, ""}, {"HEAD", 200, 10, ""},
        {"HEAD", 200, std::nullopt, ""}, {"GET", 204, 0, ""}, {"GET", 304, 0, ""}, {"GET", 304, std::nullopt, ""}};
    for (const Kind& kind : kinds) {
        for (const int turns : {0, 1, SomeTurns}) {
            log.events.clear();
            auto client = connect();
            client.send(kind.method + " / HTTP/1.1\r\nHost: h\r\n\r\n");
            ASSERT_TRUE(waitStarted(1));
            const HttpHandle handle = handleOf(0);
            server->execute(HttpRespond {.handle = handle,
                .status = kind.status,
                .bodyLength = kind.length,
                .bytes = kind.bytes,
                .isLast = false});
            runner.runTurns(turns);
            server->execute(HttpAbort {.handle = handle});
            ASSERT_TRUE(runner.runUntil([&] { return client.isPeerDisconnected(); })) << client.received;
            const bool endsWithHead = kind.method == "HEAD" || kind.status != 200 || kind.length == 0;
            EXPECT_FALSE(endsWithHead && client.hasReceived("\r\n\r\n")) << turns << " turns, " << client.received;
            EXPECT_FALSE(client.hasReceived("\r\n0\r\n")) << turns << " turns, " << client.received;
        }
    }
    EXPECT_TRUE(log.http<HttpResponseDone>().empty());
}

// Guards against requests, reports and plans that count though their sender stopped within them.
TEST_F(ExchangeBoundaryTest, RequestsCutAtAnyByteAreNotWhole)
{
    const std::vector<std::string> requests {"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", postWithLength("{\"a\":1}"),
        postInChunks("{\"a\":1}"), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"};
    for (const std::string& request : requests) {
        for (size_t size = 1; size <= request.size(); ++size) {
            log.events.clear();
            auto client = connect();
            client.send(request.substr(0, size));
            ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 1; }));
            runner.runTurns(3);
            client.close();
            ASSERT_TRUE(runner.runUntil([&] { return server->openConnections() == 0; }));
            EXPECT_EQ(wholeRequests(), size == request.size() ? 1U : 0U) << size << " bytes of " << request;
        }
    }
}

} // namespace
} // namespace saltvane::net::tests
