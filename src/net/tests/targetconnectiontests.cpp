/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/monotonicclock.h"
#include "net/tests/targetclientfixture.h"

#include <array>
#include <utility>

/// Connections of TargetClient: which ones are reused, and how failed or refused ones are reported.
namespace saltvane::net::tests {
namespace {

class TargetConnectionTest : public TargetClientTest { };

TEST_F(TargetConnectionTest, RefusedConnectionProvablyDidNotReachTheTarget)
{
    TargetStart start = request(1);
    listener.close();
    client->execute(start);
    ASSERT_TRUE(waitForCompletion());
    ASSERT_EQ(log.target<TargetFailed>().size(), 1u);
    EXPECT_FALSE(log.target<TargetFailed>().front().mayHaveReachedTarget);
    EXPECT_TRUE(log.target<TargetFailed>().front().isRefused);
}

TEST_F(TargetConnectionTest, ReusesConnectionsForRepeatableRequestsOnly)
{
    RawSocket target;
    for (const uint64_t dispatch : {1, 2}) {
        target.received.clear();
        client->execute(namedRequest(dispatch, true));
        ASSERT_TRUE(acceptRequest(target));
        target.send(NamedResponse);
        ASSERT_TRUE(waitForCompletion(dispatch));
    }
    EXPECT_EQ(listener.accepted, 1);
    RawSocket fresh;
    client->execute(namedRequest(3, false));
    ASSERT_TRUE(acceptRequest(fresh));
    EXPECT_EQ(listener.accepted, 2);
    EXPECT_TRUE(fresh.hasReceived("Connection: close\r\n"));
    fresh.send(NamedResponse);
    ASSERT_TRUE(waitForCompletion(3));
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 3u);
    EXPECT_TRUE(runner.runUntil([&] { return fresh.isPeerDisconnected(); }));
    EXPECT_FALSE(target.isPeerDisconnected());
}

TEST_F(TargetConnectionTest, ClosesWithUnacknowledgedRequestBytesAreCounted)
{
    const auto closes = [&] { return counters.value(model::Counter::UnacknowledgedCloses); };
    RawSocket target;
    client->execute(request(1, false));
    ASSERT_TRUE(acceptRequest(target));
    client->execute(TargetCancel {.dispatch = {1}});
    EXPECT_EQ(closes(), 0u) << "the target's host has acknowledged the whole request";

    RawSocket unread;
    executeUnread(2, unread);
    client->execute(TargetCancel {.dispatch = {2}});
    EXPECT_EQ(closes(), 1u);
}

// Guards against requests that reach their target after they were given up: their bytes were still unacknowledged, and
// the kernel would have sent them once the target could be reached or read again.
TEST_F(TargetConnectionTest, CancelDropsBytesThatAreNotAcknowledged)
{
    RawSocket target;
    executeUnread(1, target);
    size_t sent = 0;
    for (const TargetRequestProgress& progress : log.target<TargetRequestProgress>())
        sent += progress.bytes;
    client->execute(TargetCancel {.dispatch = {1}});
    EXPECT_TRUE(runner.runUntil([&] { return target.isPeerDisconnected(); }));
    EXPECT_TRUE(target.peerReset);
    EXPECT_LT(target.received.size(), sent);
}

TEST_F(TargetConnectionTest, NewConnectionIsUsedIfRequested)
{
    RawSocket before;
    client->execute(namedRequest(1, true));
    ASSERT_TRUE(acceptRequest(before));
    before.send(NamedResponse);
    ASSERT_TRUE(waitForCompletion(1));
    RawSocket now;
    auto second = namedRequest(2, true);
    second.needsNewConnection = true;
    client->execute(second);
    ASSERT_TRUE(acceptRequest(now));
    EXPECT_EQ(listener.accepted, 2);
    now.send(NamedResponse);
    ASSERT_TRUE(waitForCompletion(2));
}

/// The target reads the second request on a reused connection and closes it without sending a response byte. libcurl
/// would retry the request by default.
class ReusedConnectionTest : public TargetConnectionTest, public testing::WithParamInterface<bool> { };

TEST_P(ReusedConnectionTest, ClosesAndTheRequestRunsOnce)
{
    const bool isRepeatable = GetParam();
    int runs = 0;
    RawSocket target;
    client->execute(namedRequest(1, isRepeatable));
    ASSERT_TRUE(acceptRequest(target));
    target.send(NamedResponse);
    ASSERT_TRUE(waitForCompletion(1));
    target.received.clear();
    client->execute(namedRequest(2, isRepeatable));
    if (!isRepeatable)
        target = RawSocket();
    ASSERT_TRUE(acceptRequest(target));
    ++runs;
    target.close();
    RawSocket repeated;
    ASSERT_TRUE(runner.runUntil([&] {
        if (!repeated.isOpen())
            (void)listener.accept(repeated);
        if (repeated.isOpen() && repeated.hasReceived("\r\n\r\n")) {
            ++runs;
            repeated.send(NamedResponse);
            repeated.received.clear();
        }
        return log.target<TargetResponseDone>().size() + log.target<TargetFailed>().size() >= 2;
    }));
    EXPECT_EQ(runs, 1);
    ASSERT_EQ(log.target<TargetFailed>().size(), 1u);
    EXPECT_TRUE(log.target<TargetFailed>().front().mayHaveReachedTarget);
}

INSTANTIATE_TEST_SUITE_P(Repeatable, ReusedConnectionTest, testing::Values(true, false));

TEST_F(TargetConnectionTest, SurplusResponseFailsOneRequestAndItsConnection)
{
    const auto named = [&](uint64_t dispatch) {
        TargetStart start = request(dispatch);
        start.headers.push_back({"X-Id", std::to_string(dispatch)});
        start.echoedHeader = "x-id";
        return start;
    };
    const auto responseFor
        = [](int id) { return "HTTP/1.1 200 OK\r\nX-Id: " + std::to_string(id) + "\r\nContent-Length: 2\r\n\r\nok"; };
    client->execute(named(1));
    RawSocket target;
    ASSERT_TRUE(acceptRequest(target));
    target.send(responseFor(1));
    ASSERT_TRUE(waitForCompletion());
    target.received.clear();
    client->execute(named(2));
    ASSERT_TRUE(acceptRequest(target));
    target.send(responseFor(1)); // The first response again, while the second request waits.
    ASSERT_TRUE(waitForCompletion(2));
    ASSERT_EQ(log.target<TargetFailed>().size(), 1U);
    EXPECT_TRUE(log.target<TargetFailed>().front().mayHaveReachedTarget);
    target.send(responseFor(2));
    client->execute(named(3));
    RawSocket next;
    ASSERT_TRUE(acceptRequest(next)); // On a new connection.
    next.send(responseFor(3));
    ASSERT_TRUE(waitForCompletion(3));
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 2U);
}

TEST_F(TargetConnectionTest, ResponsesTellWhatTheirConnectionHasCarried)
{
    RawSocket target;
    for (const uint64_t dispatch : {1, 2}) {
        target.received.clear();
        client->execute(namedRequest(dispatch, true));
        ASSERT_TRUE(acceptRequest(target));
        target.send(NamedResponse);
        ASSERT_TRUE(waitForCompletion(dispatch));
    }
    const auto heads = log.target<TargetResponseHead>();
    ASSERT_EQ(heads.size(), 2U);
    EXPECT_EQ(heads[0].connection.earlierRequests, 0U);
    EXPECT_EQ(heads[1].connection.earlierRequests, 1U);
    EXPECT_GT(heads[0].connection.localPort, 0);
    EXPECT_EQ(heads[0].connection.localPort, heads[1].connection.localPort);
}

TEST_F(TargetConnectionTest, RefusedReconnectAfterABrokenConnectionIsReported)
{
    RawSocket target;
    client->execute(namedRequest(1, true));
    ASSERT_TRUE(acceptRequest(target));
    target.send(NamedResponse);
    ASSERT_TRUE(waitForCompletion(1));
    target.received.clear();
    client->execute(namedRequest(2, true));
    ASSERT_TRUE(acceptRequest(target));
    listener.close();
    target.close();
    ASSERT_TRUE(waitForCompletion(2));
    ASSERT_EQ(log.target<TargetFailed>().size(), 1U);
    EXPECT_TRUE(log.target<TargetFailed>().front().mayHaveReachedTarget);
    EXPECT_TRUE(log.target<TargetFailed>().front().isRefused);
}

TEST_F(TargetConnectionTest, BrokenConnectionAloneIsNotReportedAsRefused)
{
    const auto failure = failureOf("");
    ASSERT_TRUE(failure);
    EXPECT_TRUE(failure->mayHaveReachedTarget);
    EXPECT_FALSE(failure->isRefused);
}

/// A target that keeps idle connections for 1 s, as its responses say. It closes its first connection at that moment
/// without reading what arrived there within the last 300 ms, as if that were still on its way.
class ClosingTarget {
public:
    static constexpr Duration KeptTime = 1s;
    static constexpr Duration Way = 300ms;

    [[nodiscard]] const model::Address& address() const { return listener_.address(); }
    void serve(Timestamp now)
    {
        if (isServed_ && now >= servedAt_ + KeptTime)
            first_.close();
        if (!isServed_ || now < servedAt_ + KeptTime - Way)
            serve(first_, now);
        if (isServed_)
            serve(second_, now);
    }

    [[nodiscard]] static std::string namedResponse(std::string_view fields)
    {
        return "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + std::string(fields) + "Content-Length: 2\r\n\r\nok";
    }

private:
    void serve(RawSocket& connection, Timestamp now)
    {
        if (!connection.isOpen())
            (void)listener_.accept(connection);
        if (!connection.isOpen() || !connection.hasReceived("\r\n\r\n"))
            return;
        connection.received.clear();
        connection.send(namedResponse("Keep-Alive: timeout=1\r\n"));
        if (!std::exchange(isServed_, true))
            servedAt_ = now;
    }

    RawListener listener_;
    RawSocket first_;
    RawSocket second_;
    bool isServed_ = false;
    Timestamp servedAt_; ///< The first request.
};

class KeptTimeTest : public TargetClientTest {
protected:
    [[nodiscard]] TargetStart atMostOnce(uint64_t dispatch) const
    {
        TargetStart start = namedRequest(dispatch, false);
        start.maxReuseIdleTime = 2s;
        return start;
    }
    /// Sends a request, which `target` answers with these header lines.
    void answer(uint64_t dispatch, RawSocket& target, std::string_view fields)
    {
        target.received.clear();
        client->execute(atMostOnce(dispatch));
        ASSERT_TRUE(acceptRequest(target)) << fields;
        target.send(ClosingTarget::namedResponse(fields));
        ASSERT_TRUE(waitForCompletion(dispatch)) << fields;
    }
    void rest(Duration time)
    {
        const Timestamp end = monotonicNow() + time;
        ASSERT_TRUE(runner.runUntil([&] { return monotonicNow() >= end; }));
    }
    /// Whether the request after a response with these header lines, and a rest, comes on the same connection.
    [[nodiscard]] bool isReusedAfter(std::string_view fields, Duration restTime)
    {
        SetUp();
        log.events.clear();
        RawSocket target;
        RawSocket next;
        answer(1, target, fields);
        rest(restTime);
        target.received.clear();
        client->execute(atMostOnce(2));
        const bool hasArrived = runner.runUntil([&] {
            if (!next.isOpen())
                (void)listener.accept(next);
            return target.hasReceived("\r\n\r\n") || (next.isOpen() && next.hasReceived("\r\n\r\n"));
        });
        EXPECT_TRUE(hasArrived) << fields;
        EXPECT_EQ(next.isOpen(), target.isPeerDisconnected()) << fields << ": a connection that is not used is closed";
        (next.isOpen() ? next : target).send(NamedResponse);
        EXPECT_TRUE(waitForCompletion(2)) << fields;
        EXPECT_EQ(log.target<TargetFailed>().size(), 0U) << fields;
        return !next.isOpen();
    }
};

// Guards against requests at most once that end as unknown though they did not run: they were sent on a connection that
// its target closed at that moment, as its last response had announced.
TEST_F(KeptTimeTest, RequestsAroundTheNamedTimeAreServed)
{
    constexpr std::array SentAfter {200ms, 750ms, 850ms, 950ms, 985ms, 1000ms, 1020ms};
    std::array<ClosingTarget, SentAfter.size()> targets;
    std::array<bool, SentAfter.size()> isSent {};
    for (size_t i = 0; i < targets.size(); ++i) {
        TargetStart first = atMostOnce(i + 1);
        first.address = targets[i].address();
        client->execute(first);
    }
    ASSERT_TRUE(runner.runUntil([&] {
        for (ClosingTarget& target : targets)
            target.serve(monotonicNow());
        return log.target<TargetResponseDone>().size() == targets.size();
    }));
    const Timestamp answeredAt = monotonicNow();
    ASSERT_TRUE(runner.runUntil([&] {
        const Timestamp now = monotonicNow();
        for (size_t i = 0; i < targets.size(); ++i) {
            targets[i].serve(now);
            if (now < answeredAt + SentAfter[i] || std::exchange(isSent[i], true))
                continue;
            TargetStart second = atMostOnce(targets.size() + i + 1);
            second.address = targets[i].address();
            client->execute(second);
        }
        return log.target<TargetResponseDone>().size() + log.target<TargetFailed>().size() == 2 * targets.size();
    }));
    for (const TargetFailed& failed : log.target<TargetFailed>())
        ADD_FAILURE() << failed.message << ", dispatch " << failed.dispatch.value
                      << ", may have reached the target: " << failed.mayHaveReachedTarget;
}

// Guards against connections that are used until their target closes them, and ones that are left for no reason.
TEST_F(KeptTimeTest, ConnectionIsLeftBeforeTheNamedTime)
{
    constexpr Duration Rest = 700ms;
    EXPECT_FALSE(isReusedAfter("Keep-Alive: timeout=1\r\n", Rest));
    EXPECT_TRUE(isReusedAfter("Keep-Alive: timeout=2\r\n", Rest));
    EXPECT_TRUE(isReusedAfter("Keep-Alive: timeout=18446744073709551615\r\n", Rest));
    EXPECT_TRUE(isReusedAfter("", Rest));
}

// Guards against named times that are missed: the field and its parameters come in any letter case, beside others, more
// than once. With 0, the target keeps no connection.
TEST_F(KeptTimeTest, NamedTimeIsReadFromEachFormOfTheField)
{
    for (const std::string_view fields : {"Keep-Alive: timeout=0\r\n", "keep-alive: max=100, TimeOut=0\r\n",
             "KEEP-ALIVE:timeout = 0 ,max=100\r\n", "Keep-Alive: max=100\r\nKeep-Alive: timeout=0\r\n",
             "Keep-Alive: timeout=30, timeout=0\r\n", "Keep-Alive: timeout=0\r\nKeep-Alive: timeout=30\r\n",
             "Connection: keep-alive\r\nKeep-Alive: timeout=00\r\n"})
        EXPECT_FALSE(isReusedAfter(fields, 0ms)) << fields;
}

// Guards against connections that are never used again because of a value that names no time.
TEST_F(KeptTimeTest, MalformedTimesCountForNothing)
{
    for (const std::string_view value : {"", "timeout", "timeout=", "timeout=x", "timeout=-1", "timeout=0.5",
             "timeout=\"0\"", "timeout=0s", "timeout=99999999999999999999", "timeouts=0", "max=0", "0", "=0", ",;="})
        EXPECT_TRUE(isReusedAfter("Keep-Alive: " + std::string(value) + "\r\n", 0ms)) << value;
    EXPECT_TRUE(isReusedAfter("X-Keep-Alive: timeout=0\r\n", 0ms));
}

// Guards against connections that are judged by an earlier response, or by the time since that one.
TEST_F(KeptTimeTest, LastResponseCounts)
{
    RawSocket target;
    answer(1, target, "Keep-Alive: timeout=1\r\n");
    rest(260ms);
    answer(2, target, "Keep-Alive: timeout=1\r\n");
    rest(260ms);
    answer(3, target, "Keep-Alive: timeout=30\r\n");
    rest(700ms);
    answer(4, target, "Keep-Alive: timeout=0\r\n");
    EXPECT_EQ(listener.accepted, 1);
    RawSocket next;
    answer(5, next, "");
    EXPECT_EQ(listener.accepted, 2);
}

/// Sent by targets that close an idle connection, since they wait there for a request.
constexpr std::string_view IdleTimeout
    = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

// Guards against targets that are taken for senders of surplus responses, and get a connection for each request then,
// since they say why they close an idle connection: with the end of the stream, or some time before it.
TEST_F(KeptTimeTest, IdleTimeoutsAreNoSurplusAndTheRequestIsServed)
{
    for (const bool isClosed : {true, false}) {
        SetUp();
        log.events.clear();
        RawSocket target;
        answer(1, target, "");
        target.received.clear();
        target.send(IdleTimeout);
        if (isClosed)
            target.close();
        RawSocket next;
        answer(2, next, "");
        EXPECT_EQ(log.target<TargetFailed>().size(), 0U);
        ASSERT_EQ(log.target<TargetResponseHead>().size(), 2U);
        EXPECT_FALSE(log.target<TargetResponseHead>().back().hasSurplus) << "closed: " << isClosed;
        EXPECT_FALSE(!isClosed && target.hasReceived("GET"));
    }
}

// Guards against the same where the request was on its way. It may have run: nothing tells whether the target read it.
TEST_F(KeptTimeTest, IdleTimeoutThatMeetsTheRequestIsNoSurplus)
{
    RawSocket target;
    answer(1, target, "");
    target.received.clear();
    client->execute(atMostOnce(2));
    ASSERT_TRUE(acceptRequest(target));
    target.send(IdleTimeout);
    ASSERT_TRUE(waitForCompletion(2));
    ASSERT_EQ(log.target<TargetFailed>().size(), 1U);
    EXPECT_TRUE(log.target<TargetFailed>().front().mayHaveReachedTarget);
    EXPECT_FALSE(log.target<TargetFailed>().front().hasSurplus);
}

// Guards against second responses that pass for idle timeouts: other statuses, parts of a status line, and 408 where it
// names a request.
TEST_F(KeptTimeTest, OtherResponsesWithoutARequestAreSurplus)
{
    for (const std::string_view bytes :
        {"HTTP/1.1 40", "HTTP/1.1 4080 X\r\n", "HTTP/1.1 503 Full\r\n", "408", "\r\n"}) {
        SetUp();
        log.events.clear();
        RawSocket target;
        answer(1, target, "");
        target.send(bytes);
        RawSocket next;
        answer(2, next, "");
        ASSERT_EQ(log.target<TargetResponseHead>().size(), 2U) << bytes;
        EXPECT_TRUE(log.target<TargetResponseHead>().back().hasSurplus) << bytes;
    }
    SetUp();
    log.events.clear();
    RawSocket target;
    answer(1, target, "");
    target.received.clear();
    client->execute(atMostOnce(2));
    ASSERT_TRUE(acceptRequest(target));
    target.send("HTTP/1.1 408 Request Timeout\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(waitForCompletion(2));
    ASSERT_EQ(log.target<TargetFailed>().size(), 1U);
    EXPECT_TRUE(log.target<TargetFailed>().front().hasSurplus);
}

} // namespace
} // namespace saltvane::net::tests
