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

/// Callers that do not end their bodies or do not read.
class CallerPaceTest : public HttpServerTest {
protected:
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
    uint64_t bodyBytes = 0;
};

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

} // namespace
} // namespace saltvane::net::tests
