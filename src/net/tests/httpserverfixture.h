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

using namespace requests; // NOLINT(google-global-names-in-headers)

inline constexpr const char* PlainGet = "GET /a%20b?x=1&y=%2F HTTP/1.1\r\nHost: h\r\nX-Two: 1\r\nX-Two: 2\r\n\r\n";

/// A server with recorded events, whose responses the test sends.
class HttpServerTest : public testing::Test {
protected:
    void SetUp() override { makeServer({}); }

    void makeServer(settings::Limits limits, CallerPaceLimits paceLimits = {})
    {
        server.reset();
        server = std::move(makeHttpServer({.loop = runner.loop(),
                                              .address = {.ip = "127.0.0.1", .port = 0},
                                              .limits = limits,
                                              .paceLimits = paceLimits,
                                              .isBodyTakenWhole = isBodyTakenWhole,
                                              .sink =
                                                  [this](host::Event event) {
                                                      log.events.push_back(event);
                                                      if (onEvent)
                                                          onEvent(event);
                                                  },
                                              .counters = &counters,
                                              .metricsText = [] { return std::string("up 1\n"); }})
                               .value());
    }
    [[nodiscard]] RawSocket connect() const { return RawSocket::connectedTo(server->boundAddress()); }
    [[nodiscard]] bool waitStarted(size_t count)
    {
        return runner.runUntil([&] { return log.http<HttpRequestStarted>().size() >= count; });
    }
    [[nodiscard]] HttpHandle handleOf(size_t index) const { return log.http<HttpRequestStarted>().at(index).handle; }
    [[nodiscard]] std::string bodyReceived() const
    {
        std::string all;
        for (const auto& part : log.http<HttpRequestBody>())
            all += part.bytes;
        return all;
    }
    [[nodiscard]] uint64_t badRequests() const { return counters.value(model::Counter::BadHttpRequests); }
    /// Responds to each request from within its event.
    void respondAtOnce(HttpRespond pattern)
    {
        onEvent = [this, pattern](const host::Event& event) {
            const auto* http = std::get_if<HttpEvent>(&event);
            const auto* started = http == nullptr ? nullptr : std::get_if<HttpRequestStarted>(http);
            if (started == nullptr)
                return;
            HttpRespond respond = pattern;
            respond.handle = started->handle;
            server->execute(std::move(respond));
        };
    }
    [[nodiscard]] bool exchange(RawSocket& client, std::string_view request, std::string_view expected)
    {
        client.send(request);
        return runner.runUntil([&] { return client.hasReceived(expected) || client.isPeerDisconnected(); })
            && client.hasReceived(expected);
    }

    bool isBodyTakenWhole = true; ///< Of servers made from now on.
    LoopRunner runner;
    EventLog log;
    model::Counters counters;
    std::function<void(const host::Event&)> onEvent;
    std::unique_ptr<IHttpServer> server;
};

} // namespace saltvane::net::tests
