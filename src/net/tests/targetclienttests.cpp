/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/monotonicclock.h"
#include "net/tests/targetclientfixture.h"

#include <thread>

namespace saltvane::net::tests {
namespace {

TEST_F(TargetClientTest, SendsTheRequestUnchanged)
{
    client->execute(namedRequest(1));
    EXPECT_TRUE(log.events.empty());
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    EXPECT_EQ(
        target.received, "GET /p?q=%20 HTTP/1.1\r\nHost: service\r\nX-A: 1\r\nX-A: 2\r\nX-Empty:\r\nX-Id: 1\r\n\r\n");
    target.send("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 201 Made\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n"
                "Content-Length: 2\r\nContent-Encoding: gzip\r\n\r\nok");
    ASSERT_TRUE(waitForCompletion());
    ASSERT_EQ(log.target<TargetResponseHead>().size(), 1u);
    const auto head = log.target<TargetResponseHead>().front();
    EXPECT_EQ(head.status, 201);
    EXPECT_EQ(head.bodyLength, 2u);
    ASSERT_EQ(head.headers.size(), 4u);
    EXPECT_EQ(head.headers[0], (model::Header {"Set-Cookie", "a"}));
    EXPECT_EQ(head.headers[1], (model::Header {"Set-Cookie", "b"}));
    EXPECT_EQ(body(), "ok");
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 1u);
}

// Guards against a target that sends trailers without end, which fill the gateway's memory.
TEST_F(TargetClientTest, TrailersWithoutEndFailTheRequest)
{
    client->execute(request(1));
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    target.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n");
    const std::string trailer = "X-Trailer: " + std::string(1000, 'x') + "\r\n";
    ASSERT_TRUE(runner.runUntil([&] {
        target.send(trailer);
        return log.target<TargetFailed>().size() == 1 || target.unsent() > UnreadBodyBytes;
    }));
    ASSERT_EQ(log.target<TargetFailed>().size(), 1U);
    EXPECT_EQ(log.target<TargetFailed>().front().message, "trailers too large");
}

TEST_F(TargetClientTest, TrailersAreAccepted)
{
    client->execute(request(1));
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    target.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n");
    ASSERT_TRUE(waitForCompletion());
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 1U);
    EXPECT_EQ(body(), "ok");
}

// Guards against targets that are given more time than is left, because the process was stalled between the dispatch
// and the first byte.
TEST_F(TargetClientTest, TimeLeftIsThatOfTheFirstByte)
{
    constexpr auto Stall = 120ms;
    constexpr int DeadlineMs = 1000;
    TargetStart start = request(1);
    start.headers.push_back({"X-Time-Left", std::to_string(DeadlineMs)});
    start.headers.push_back({"X-Last", "1"});
    start.deadlineHeader = "X-Time-Left";
    start.deadline = monotonicNow() + std::chrono::milliseconds(DeadlineMs);
    recheck = [&](const TargetStart&) {
        std::this_thread::sleep_for(Stall);
        return model::Reason::None;
    };
    client->execute(start);
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    const std::string name = "X-Time-Left: ";
    const size_t at = target.received.find(name);
    ASSERT_NE(at, std::string::npos) << target.received;
    const int left = std::stoi(target.received.substr(at + name.size()));
    EXPECT_GT(left, 0);
    EXPECT_LE(left, DeadlineMs - Stall / 1ms);
    EXPECT_NE(target.received.find("\r\nX-Last: 1\r\n"), std::string::npos);
}

TEST_F(TargetClientTest, FollowsNoRedirect)
{
    client->execute(request(1));
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    target.send("HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(waitForCompletion());
    EXPECT_EQ(log.target<TargetResponseHead>().front().status, 302);
    EXPECT_EQ(listener.accepted, 1);
}

TEST_F(TargetClientTest, StreamsARequestBody)
{
    for (const bool isChunked : {false, true}) {
        log.events.clear();
        TargetStart start = request(isChunked ? 2 : 1, false);
        start.method = "PATCH";
        start.bodyLength = isChunked ? std::nullopt : std::optional<uint64_t>(6);
        client->execute(start);
        RawSocket target;
        ASSERT_TRUE(acceptRequest(target));
        EXPECT_FALSE(target.hasReceived("Expect"));
        EXPECT_TRUE(target.hasReceived(isChunked ? "Transfer-Encoding: chunked" : "Content-Length: 6"));
        client->execute(TargetRequestBody {.dispatch = start.dispatch, .bytes = "abc"});
        ASSERT_TRUE(runner.runUntil([&] { return target.hasReceived("abc"); }));
        client->execute(TargetRequestBody {.dispatch = start.dispatch, .bytes = "def", .isLast = true});
        ASSERT_TRUE(runner.runUntil([&] { return target.hasReceived("def"); }));
        ASSERT_TRUE(runner.runUntil([&] { return !isChunked || target.hasReceived("\r\n0\r\n\r\n"); }));
        target.send(Response);
        ASSERT_TRUE(waitForCompletion());
        EXPECT_EQ(log.target<TargetResponseDone>().size(), 1u);
        uint64_t progress = 0;
        for (const auto& step : log.target<TargetRequestProgress>())
            progress += step.bytes;
        EXPECT_EQ(progress, 6u);
    }
}

// Guards against bytes that are lost where blocks of a shared body end, and against blocks that are held after they
// were sent.
TEST_F(TargetClientTest, SendsASharedBodyAndReleasesItsBlocks)
{
    const BlockMemoryRef memory(new BlockMemory);
    const std::string text = std::string(300'000, 'x') + "end";
    SharedBytes bytes;
    for (const size_t capacity : {1U, 100'000U, 300'000U})
        bytes.addBlock(capacity, memory);
    bytes.append(text);
    TargetStart start = request(1, false);
    start.method = "POST";
    start.bodyLength = text.size();
    client->execute(start);
    client->execute(TargetRequestBody {.dispatch = start.dispatch, .bytes = std::move(bytes), .isLast = true});
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    ASSERT_TRUE(runner.runUntil([&] { return target.hasReceived(text); }));
    EXPECT_EQ(memory->bytes, 0u);
    target.send(Response);
    ASSERT_TRUE(waitForCompletion());
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 1u);
}

TEST_F(TargetClientTest, RequestBodyOfWrongLengthFails)
{
    for (const std::string_view bytes : {"ab", "abcd"}) {
        log.events.clear();
        TargetStart start = request(++lastDispatch, false);
        start.method = "POST";
        start.bodyLength = 3;
        client->execute(start);
        RawSocket target;
        ASSERT_TRUE(acceptRequest(target));
        client->execute(TargetRequestBody {.dispatch = start.dispatch, .bytes = std::string(bytes), .isLast = true});
        ASSERT_TRUE(waitForCompletion());
        ASSERT_EQ(log.target<TargetFailed>().size(), 1u);
        EXPECT_TRUE(log.target<TargetFailed>().front().mayHaveReachedTarget);
        EXPECT_TRUE(runner.runUntil([&] { return target.isPeerDisconnected(); }));
    }
}

TEST_F(TargetClientTest, PostWithoutBodyHasContentLengthZero)
{
    TargetStart start = request(1);
    start.method = "POST";
    client->execute(start);
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    EXPECT_TRUE(target.hasReceived("POST /p?q=%20 HTTP/1.1\r\n"));
    EXPECT_TRUE(target.hasReceived("Content-Length: 0\r\n"));
}

TEST_F(TargetClientTest, ResponsesWithoutBody)
{
    TargetStart start = namedRequest(1);
    start.method = "HEAD";
    client->execute(start);
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    target.send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 99\r\n\r\n");
    ASSERT_TRUE(waitForCompletion());
    EXPECT_EQ(log.target<TargetResponseHead>().front().bodyLength, 0u);
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 1u);
    target.received.clear();
    client->execute(namedRequest(2));
    ASSERT_TRUE(acceptRequest(target));
    target.send("HTTP/1.1 204 No\r\nX-Id: 1\r\n\r\n");
    ASSERT_TRUE(waitForCompletion(2));
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 2u);
}

TEST_F(TargetClientTest, ResponseWaitsForTheWindow)
{
    const std::string large(InitialBodyWindow * 8, 'x');
    client->execute(request(1));
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    target.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(large.size()) + "\r\n\r\n" + large);
    const auto received = [&](size_t size) {
        return runner.runUntil([&] {
            target.pump();
            return body().size() >= size;
        });
    };
    ASSERT_TRUE(received(InitialBodyWindow));
    runner.runTurns(20);
    EXPECT_EQ(body().size(), InitialBodyWindow);
    client->execute(TargetResponseWindow {.dispatch = {1}, .bytes = 1000});
    ASSERT_TRUE(received(InitialBodyWindow + 1000));
    runner.runTurns(5);
    EXPECT_EQ(body().size(), InitialBodyWindow + 1000);
    EXPECT_TRUE(log.target<TargetResponseDone>().empty());
    client->execute(TargetResponseWindow {.dispatch = {1}, .bytes = large.size() - InitialBodyWindow - 1001});
    ASSERT_TRUE(received(large.size() - 1));
    runner.runTurns(5);
    EXPECT_TRUE(log.target<TargetResponseDone>().empty());
    client->execute(TargetResponseWindow {.dispatch = {1}, .bytes = 1});
    ASSERT_TRUE(waitForCompletion());
    EXPECT_EQ(body(), large);
    EXPECT_TRUE(std::holds_alternative<TargetEvent>(log.events.back()));
    EXPECT_TRUE(std::holds_alternative<TargetResponseDone>(std::get<TargetEvent>(log.events.back())));
}

TEST_F(TargetClientTest, WaitingKeepsTheLoopIdle)
{
    TargetStart start = request(1);
    start.method = "POST";
    start.bodyLength = std::nullopt;
    client->execute(start);
    RawSocket forBody;
    ASSERT_TRUE(acceptRequest(forBody));
    EXPECT_LT(runner.turnsPerTick(), 3);
    client->execute(request(2));
    RawSocket forWindow;
    ASSERT_TRUE(acceptRequest(forWindow));
    const std::string large(InitialBodyWindow * 4, 'x');
    forWindow.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(large.size()) + "\r\n\r\n" + large);
    ASSERT_TRUE(runner.runUntil([&] {
        forWindow.pump();
        return body().size() == InitialBodyWindow;
    }));
    EXPECT_LT(runner.turnsPerTick(), 3);
    forWindow.close();
    EXPECT_LT(runner.turnsPerTick(), 3);
}

TEST_F(TargetClientTest, InvalidResponsesFail)
{
    const std::vector<std::string> responses {
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\n\r\nabc",
        "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "just text\n",
        "HTTP/2 200\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 O\rK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: " + std::string(300 * 1024, 'x') + "\r\nContent-Length: 0\r\n\r\n",
    };
    for (const std::string& response : responses) {
        const auto failure = failureOf(response);
        ASSERT_TRUE(failure.has_value()) << response.substr(0, 100);
        EXPECT_TRUE(failure->mayHaveReachedTarget) << response.substr(0, 100);
        EXPECT_FALSE(failure->message.empty());
        EXPECT_TRUE(log.target<TargetResponseDone>().empty());
    }
}

TEST_F(TargetClientTest, ResponsesThatMentionHttpAreAccepted)
{
    const std::vector<std::string> heads {
        "HTTP/1.1 200\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.0 200 HTTP/1.1 is known\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Upstream: HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 \r\nUpgrade: HTTP/2.0, HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    };
    for (const std::string& head : heads) {
        const auto failure = failureOf(head);
        EXPECT_FALSE(failure.has_value()) << head;
        EXPECT_EQ(log.target<TargetResponseDone>().size(), 1U) << head;
    }
}

TEST_F(TargetClientTest, InvalidRequestsAreNotSent)
{
    TargetStart start = request(1);
    start.headers.push_back({"X", "a\r\nEvil: 1"});
    client->execute(start);
    start = request(2);
    start.path = "/a b";
    client->execute(start);
    start = request(3);
    start.address.ip = "localhost";
    client->execute(start);
    EXPECT_TRUE(log.events.empty()); // Actions must not emit events synchronously.
    ASSERT_TRUE(waitForCompletion(3));
    for (const auto& failure : log.target<TargetFailed>())
        EXPECT_FALSE(failure.mayHaveReachedTarget);
    RawSocket none;
    EXPECT_FALSE(listener.accept(none));
}

TEST_F(TargetClientTest, CancelClosesTheConnection)
{
    client->execute(request(1));
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    client->execute(TargetCancel {.dispatch = {1}});
    EXPECT_TRUE(runner.runUntil([&] { return target.isPeerDisconnected(); }));
    EXPECT_TRUE(log.events.empty());
}

TEST_F(TargetClientTest, CancelDropsPendingEvents)
{
    client->execute(request(1));
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    target.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    ASSERT_TRUE(runner.runUntil([&] { return body() == "abc"; }));
    target.send("def");
    client->execute(TargetCancel {.dispatch = {1}});
    const size_t events = log.events.size();
    ASSERT_TRUE(runner.runUntil([&] { return target.isPeerDisconnected(); }));
    EXPECT_EQ(log.events.size(), events);
}

TEST_F(TargetClientTest, ResponseBeforeTheRequestIsComplete)
{
    TargetStart start = request(1, false);
    start.method = "POST";
    start.bodyLength = 1000;
    client->execute(start);
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    target.send("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
    ASSERT_TRUE(waitForCompletion());
    ASSERT_EQ(log.target<TargetResponseHead>().size(), 1u);
    EXPECT_EQ(log.target<TargetResponseHead>().front().status, 503);
    EXPECT_EQ(body(), "busy");
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 1u);
}

} // namespace
} // namespace saltvane::net::tests
