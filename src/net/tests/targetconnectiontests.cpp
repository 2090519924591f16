/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/targetclientfixture.h"

/// What TargetClient does with connections: which it uses again, and what it tells of those that break or are refused.
namespace saltvane::net::tests {
namespace {

class TargetConnectionTest : public TargetClientTest { };

TEST_F(TargetConnectionTest, RefusedConnectionProvablyDidNotReachTheTarget)
{
    TargetStart start = request(1);
    listener.close();
    client->carryOut(start);
    ASSERT_TRUE(waitEnd());
    ASSERT_EQ(log.target<TargetFailed>().size(), 1u);
    EXPECT_FALSE(log.target<TargetFailed>().front().mayHaveReachedTarget);
    EXPECT_TRUE(log.target<TargetFailed>().front().isRefused);
}

TEST_F(TargetConnectionTest, ReusesConnectionsForRepeatableRequestsOnly)
{
    RawSocket target;
    for (const uint64_t dispatch : {1, 2}) {
        target.received.clear();
        client->carryOut(request(dispatch, true));
        ASSERT_TRUE(takeRequest(target));
        target.send(Answer);
        ASSERT_TRUE(waitEnd(dispatch));
    }
    EXPECT_EQ(listener.accepted, 1);
    RawSocket fresh;
    client->carryOut(request(3, false));
    ASSERT_TRUE(takeRequest(fresh));
    EXPECT_EQ(listener.accepted, 2);
    EXPECT_TRUE(fresh.hasReceived("Connection: close\r\n"));
    fresh.send(Answer);
    ASSERT_TRUE(waitEnd(3));
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 3u);
    EXPECT_TRUE(runner.runUntil([&] { return fresh.isPeerGone(); }));
    EXPECT_FALSE(target.isPeerGone());
}

TEST_F(TargetConnectionTest, AConnectionOfTheStartBeforeIsNotUsedWhereToldSo)
{
    RawSocket before;
    client->carryOut(request(1, true));
    ASSERT_TRUE(takeRequest(before));
    before.send(Answer);
    ASSERT_TRUE(waitEnd(1));
    RawSocket now;
    auto second = request(2, true);
    second.needsNewConnection = true;
    client->carryOut(second);
    ASSERT_TRUE(takeRequest(now));
    EXPECT_EQ(listener.accepted, 2);
    now.send(Answer);
    ASSERT_TRUE(waitEnd(2));
}

/// The target reads the second request on a reused connection and closes without a byte of an answer: libcurl by
/// itself would send it again.
class ReusedConnectionTest : public TargetConnectionTest, public testing::WithParamInterface<bool> { };

TEST_P(ReusedConnectionTest, DiesAndTheRequestRunsOnce)
{
    const bool isRepeatable = GetParam();
    int runs = 0;
    RawSocket target;
    client->carryOut(request(1, isRepeatable));
    ASSERT_TRUE(takeRequest(target));
    target.send(Answer);
    ASSERT_TRUE(waitEnd(1));
    target.received.clear();
    client->carryOut(request(2, isRepeatable));
    if (!isRepeatable)
        target = RawSocket();
    ASSERT_TRUE(takeRequest(target));
    ++runs;
    target.close();
    RawSocket repeated;
    ASSERT_TRUE(runner.runUntil([&] {
        if (!repeated.isOpen())
            (void)listener.accept(repeated);
        if (repeated.isOpen() && repeated.hasReceived("\r\n\r\n")) {
            ++runs;
            repeated.send(Answer);
            repeated.received.clear();
        }
        return log.target<TargetResponseDone>().size() + log.target<TargetFailed>().size() >= 2;
    }));
    EXPECT_EQ(runs, 1);
    ASSERT_EQ(log.target<TargetFailed>().size(), 1u);
    EXPECT_TRUE(log.target<TargetFailed>().front().mayHaveReachedTarget);
}

INSTANTIATE_TEST_SUITE_P(Repeatable, ReusedConnectionTest, testing::Values(true, false));

TEST_F(TargetConnectionTest, ASurplusAnswerCostsItsConnectionOneRequest)
{
    const auto named = [&](uint64_t dispatch) {
        TargetStart start = request(dispatch);
        start.headers.push_back({"X-Id", std::to_string(dispatch)});
        start.echoedHeader = "x-id";
        return start;
    };
    const auto answerOf
        = [](int id) { return "HTTP/1.1 200 OK\r\nX-Id: " + std::to_string(id) + "\r\nContent-Length: 2\r\n\r\nok"; };
    client->carryOut(named(1));
    RawSocket target;
    ASSERT_TRUE(takeRequest(target));
    target.send(answerOf(1));
    ASSERT_TRUE(waitEnd());
    target.received.clear();
    client->carryOut(named(2));
    ASSERT_TRUE(takeRequest(target));
    target.send(answerOf(1)); // Once more, whole, while the second request waits.
    ASSERT_TRUE(waitEnd(2));
    ASSERT_EQ(log.target<TargetFailed>().size(), 1U);
    EXPECT_TRUE(log.target<TargetFailed>().front().mayHaveReachedTarget);
    target.send(answerOf(2));
    client->carryOut(named(3));
    RawSocket next;
    ASSERT_TRUE(takeRequest(next)); // On a connection of its own.
    next.send(answerOf(3));
    ASSERT_TRUE(waitEnd(3));
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 2U);
}

TEST_F(TargetConnectionTest, ATargetThatIsGoneRefusesTheConnectionThatWouldReplaceABrokenOne)
{
    RawSocket target;
    client->carryOut(request(1, true));
    ASSERT_TRUE(takeRequest(target));
    target.send(Answer);
    ASSERT_TRUE(waitEnd(1));
    target.received.clear();
    client->carryOut(request(2, true));
    ASSERT_TRUE(takeRequest(target));
    listener.close();
    target.close();
    ASSERT_TRUE(waitEnd(2));
    ASSERT_EQ(log.target<TargetFailed>().size(), 1U);
    EXPECT_TRUE(log.target<TargetFailed>().front().mayHaveReachedTarget);
    EXPECT_TRUE(log.target<TargetFailed>().front().isRefused);
}

TEST_F(TargetConnectionTest, ABrokenConnectionAloneSaysNothingOfItsTarget)
{
    const auto failure = failureOf("");
    ASSERT_TRUE(failure);
    EXPECT_TRUE(failure->mayHaveReachedTarget);
    EXPECT_FALSE(failure->isRefused);
}

} // namespace
} // namespace saltvane::net::tests
