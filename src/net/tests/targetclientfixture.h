/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/inetadapters.h"
#include "net/tests/looprunner.h"
#include "net/tests/rawsocket.h"

#include <gtest/gtest.h>

namespace saltvane::net::tests {

using namespace requests; // NOLINT(google-global-names-in-headers): test code only

inline constexpr const char* Response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
inline constexpr const char* NamedResponse = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";

inline constexpr size_t UnreadBodyBytes = 32 * 1024 * 1024;
inline constexpr int TurnsWithoutProgress = 50; ///< Loop iterations after which a transfer is considered stuck.

class TargetClientTest : public testing::Test {
protected:
    void SetUp() override
    {
        client = std::move(makeTargetClient({.loop = runner.loop(),
                                                .sink = [this](host::Event event) { log.events.push_back(event); },
                                                .connectTimeout = 500ms,
                                                .recheck = [this](const TargetStart& start) { return recheck(start); },
                                                .counters = &counters})
                               .value());
    }

    [[nodiscard]] TargetStart request(uint64_t dispatch, bool isRepeatable = true) const
    {
        return {.dispatch = {dispatch},
            .address = listener.address(),
            .method = "GET",
            .path = "/p?q=%20",
            .headers = {{"Host", "service"}, {"X-A", "1"}, {"X-A", "2"}, {"X-Empty", ""}},
            .bodyLength = 0,
            .isRepeatable = isRepeatable};
    }
    /// A request that can share a connection, since its responses name it: NamedResponse is one.
    [[nodiscard]] TargetStart namedRequest(uint64_t dispatch, bool isRepeatable = true) const
    {
        TargetStart start = request(dispatch, isRepeatable);
        start.headers.push_back({"X-Id", "1"});
        start.echoedHeader = "X-Id";
        return start;
    }
    /// Accepts a connection if `socket` has none, and reads a request's head from it.
    [[nodiscard]] bool acceptRequest(RawSocket& socket)
    {
        return runner.runUntil([&] {
            if (!socket.isOpen())
                (void)listener.accept(socket);
            return socket.isOpen() && socket.hasReceived("\r\n\r\n");
        });
    }
    [[nodiscard]] bool waitForCompletion(size_t count = 1)
    {
        return runner.runUntil(
            [&] { return log.target<TargetResponseDone>().size() + log.target<TargetFailed>().size() >= count; });
    }
    [[nodiscard]] std::string body() const
    {
        std::string all;
        for (const auto& part : log.target<TargetResponseBody>())
            all += part.bytes;
        return all;
    }
    /// Sends a request whose body is larger than what the target's host accepts while the target reads nothing.
    void executeUnread(uint64_t dispatch, RawSocket& target)
    {
        TargetStart start = namedRequest(dispatch); // Its connection is not set to be reset from the beginning.
        start.method = "POST";
        start.bodyLength = UnreadBodyBytes;
        client->execute(start);
        client->execute(
            TargetRequestBody {.dispatch = {dispatch}, .bytes = std::string(UnreadBodyBytes, 'x'), .isLast = true});
        ASSERT_TRUE(runner.runUntil([&] { return listener.accept(target); }));
        size_t progress = 0;
        do {
            progress = log.target<TargetRequestProgress>().size();
            runner.runTurns(TurnsWithoutProgress);
        } while (log.target<TargetRequestProgress>().size() > progress);
    }
    /// Sends a request, responds with `response` and closes the connection. Returns the failure, if there is one.
    [[nodiscard]] std::optional<TargetFailed> failureOf(std::string_view response)
    {
        log.events.clear();
        client->execute(request(++lastDispatch));
        RawSocket target;
        if (!acceptRequest(target))
            return std::nullopt;
        target.send(response);
        target.close();
        if (!waitForCompletion() || log.target<TargetFailed>().empty())
            return std::nullopt;
        return log.target<TargetFailed>().front();
    }

    LoopRunner runner;
    std::function<model::Reason(const TargetStart&)> recheck = [](const TargetStart&) { return model::Reason::None; };
    EventLog log;
    RawListener listener;
    model::Counters counters;
    uint64_t lastDispatch = 100;
    std::unique_ptr<ITargetClient> client;
};

} // namespace saltvane::net::tests
