/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/targetclientfixture.h"

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

} // namespace
} // namespace saltvane::net::tests
