/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/inetadapters.h"
#include "net/tests/looprunner.h"
#include "net/tests/rawsocket.h"

#include <gtest/gtest.h>

namespace saltvane::net::tests {

using namespace requests; // NOLINT(google-build-using-namespace)

namespace {

constexpr const char* Get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* Post = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
constexpr const char* Response = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";
constexpr int TurnsToSend = 100; ///< Loop iterations in which a request would be sent.

/// Calls a function in each iteration of an event loop after the loop has polled for events and before it handles
/// them. Anything that happens there is found by the next poll only, as if the process had been stopped in between.
class AfterPoll {
public:
    AfterPoll(struct ev_loop* loop, std::function<void()> action)
        : loop_(loop)
        , action_(std::move(action))
    {
        ev_check_init(&watcher_, &AfterPoll::run);
        ev_set_priority(&watcher_, EV_MAXPRI);
        watcher_.data = this;
        ev_check_start(loop_, &watcher_);
    }
    ~AfterPoll() { ev_check_stop(loop_, &watcher_); }
    AfterPoll(const AfterPoll&) = delete;
    AfterPoll& operator=(const AfterPoll&) = delete;

private:
    static void run(struct ev_loop* /*loop*/, ev_check* watcher, int /*events*/)
    {
        static_cast<AfterPoll*>(watcher->data)->action_();
    }

    struct ev_loop* loop_;
    std::function<void()> action_;
    ev_check watcher_ {};
};

} // namespace

/// A server for callers and a client for one target, wired as in a gateway that sends each request on at once.
class DisconnectedCallerTest : public testing::Test {
protected:
    void SetUp() override
    {
        client = std::move(makeTargetClient({.loop = runner.loop(),
                                                .sink = [this](host::Event event) { onTargetEvent(event); },
                                                .recheck = [this](const TargetStart& start) { return recheck(start); }})
                               .value());
        server = std::move(makeHttpServer({.loop = runner.loop(),
                                              .address = {.ip = "127.0.0.1", .port = 0},
                                              .limits = {},
                                              .sink = [this](host::Event event) { onCallerEvent(event); },
                                              .counters = &counters})
                               .value());
    }

    void onCallerEvent(const host::Event& event)
    {
        log.events.push_back(event);
        const auto& http = std::get<HttpEvent>(event);
        if (const auto* started = std::get_if<HttpRequestStarted>(&http))
            client->execute(TargetStart {.dispatch = {started->handle.value},
                .address = listener.address(),
                .method = started->method,
                .path = started->path,
                .headers = {{"X-Id", "1"}},
                .bodyLength = started->bodyLength,
                .isRepeatable = true,
                .echoedHeader = "X-Id",
                .caller = started->handle});
        else if (const auto* body = std::get_if<HttpRequestBody>(&http))
            client->execute(
                TargetRequestBody {.dispatch = {body->handle.value}, .bytes = body->bytes, .isLast = body->isLast});
        else if (const auto* aborted = std::get_if<HttpRequestAborted>(&http))
            client->execute(TargetCancel {.dispatch = {aborted->handle.value}});
    }
    [[nodiscard]] model::Reason recheck(const TargetStart& start) const
    {
        return server->isCallerConnected(start.caller) ? model::Reason::None : model::Reason::ClientGone;
    }
    void onTargetEvent(const host::Event& event)
    {
        log.events.push_back(event);
        const auto& target = std::get<TargetEvent>(event);
        if (const auto* done = std::get_if<TargetResponseDone>(&target))
            server->execute(HttpRespond {.handle = {done->dispatch.value}, .bodyLength = 0});
    }

    /// Why requests were withheld.
    [[nodiscard]] std::vector<model::Reason> withheld() const
    {
        std::vector<model::Reason> reasons;
        for (const auto& failed : log.target<TargetFailed>())
            reasons.push_back(failed.withheldFor);
        return reasons;
    }

    [[nodiscard]] RawSocket connect() const { return RawSocket::connectedTo(server->boundAddress()); }
    /// Accepts a connection if `target` has none, and responds to the request that arrives on it.
    [[nodiscard]] bool serveRequest(RawSocket& target)
    {
        const bool hasArrived = runner.runUntil([&] {
            if (!target.isOpen())
                (void)listener.accept(target);
            return target.isOpen() && target.hasReceived("\r\n\r\n");
        });
        target.send(Response);
        return hasArrived;
    }
    /// Sends `request`. The connection to the target is established, and right after that the caller closes its
    /// connection. Returns what the target received.
    [[nodiscard]] std::string receivedAfterClose(std::string_view request)
    {
        RawSocket target;
        RawSocket caller = connect();
        const AfterPoll closing(runner.loop(), [&] {
            if (!target.isOpen() && listener.accept(target))
                caller.close();
        });
        caller.send(request);
        EXPECT_TRUE(runner.runUntil([&] { return target.isOpen(); })) << "no connection to the target";
        runner.runTurns(TurnsToSend);
        target.pump();
        return target.received;
    }

    LoopRunner runner;
    EventLog log;
    model::Counters counters;
    RawListener listener;
    std::unique_ptr<ITargetClient> client;
    std::unique_ptr<IHttpServer> server;
};

// A request whose caller has closed its connection must not reach a target: here the loop handles the new connection to
// the target before it learns that the caller has closed.
TEST_F(DisconnectedCallerTest, RequestIsNotSentOnANewConnection)
{
    EXPECT_EQ(receivedAfterClose(Get), "");
    EXPECT_EQ(withheld(), std::vector {model::Reason::ClientGone});
    EXPECT_EQ(log.http<HttpRequestAborted>().size(), 1u) << "the caller's exchange ends as well";
}

// The same for a request with a body.
TEST_F(DisconnectedCallerTest, RequestWithBodyIsNotSentOnANewConnection) { EXPECT_EQ(receivedAfterClose(Post), ""); }

// A request whose caller has closed its connection must not reach a target: here it is read only after that, and a kept
// connection to the target could carry it at once.
TEST_F(DisconnectedCallerTest, RequestReadAfterTheCloseIsNotSentOnAKeptConnection)
{
    RawSocket target;
    RawSocket first = connect();
    first.send(Get);
    ASSERT_TRUE(serveRequest(target));
    ASSERT_TRUE(runner.runUntil([&] { return first.hasReceived("200"); }));
    target.received.clear();

    RawSocket second = connect();
    second.send(Get);
    second.close();
    ASSERT_TRUE(runner.runUntil([&] { return !log.http<HttpRequestAborted>().empty(); }));
    runner.runTurns(TurnsToSend);
    target.pump();
    EXPECT_EQ(target.received, "");
}

// Callers that wait are served, on new and on kept connections to the target.
TEST_F(DisconnectedCallerTest, RequestsOfConnectedCallersAreSent)
{
    RawSocket target;
    for (const char* request : {Get, Post, Get}) {
        RawSocket caller = connect();
        caller.send(request);
        target.received.clear();
        ASSERT_TRUE(serveRequest(target));
        EXPECT_TRUE(runner.runUntil([&] { return caller.hasReceived("200"); }));
    }
    EXPECT_EQ(listener.accepted, 1);
}

} // namespace saltvane::net::tests
