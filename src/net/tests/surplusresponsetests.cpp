/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/targetclientfixture.h"

/// Targets that send more than one response to a request: what arrives on a kept connection after a response counts for
/// no later request.
namespace saltvane::net::tests {
namespace {

std::string headOf(uint64_t id, std::string_view statusLine)
{
    return std::string(statusLine) + "\r\nX-Load: 1,0,6\r\nX-Id: " + std::to_string(id)
        + "\r\nContent-Length: 2\r\n\r\n";
}

const std::string Early = headOf(1, "HTTP/1.1 200 Fine") + "ok";
const std::string Late = headOf(2, "HTTP/1.1 500 Internal") + "no";

class SurplusResponseTest : public TargetClientTest {
protected:
    [[nodiscard]] TargetStart named(uint64_t dispatch) const
    {
        TargetStart start = request(dispatch);
        start.headers.push_back({"X-Id", std::to_string(dispatch)});
        start.echoedHeader = "X-Id";
        return start;
    }
    /// The first request is answered, on a connection that the second one can use.
    void answerFirst()
    {
        client->execute(named(1));
        ASSERT_TRUE(acceptRequest(target));
        target.send(Early);
        ASSERT_TRUE(waitForCompletion());
        target.received.clear();
        log.events.clear();
    }
    /// The second request comes on a connection of its own.
    void answerSecondOnNewConnection()
    {
        ASSERT_TRUE(acceptRequest(next));
        next.send(Late);
        ASSERT_TRUE(waitForCompletion());
    }
    /// Starts over with a client that has no connections.
    void reset()
    {
        SetUp();
        log.events.clear();
        target = RawSocket();
        next = RawSocket();
    }
    void expectNoOtherStatusThan(int status, std::string_view context) const
    {
        for (const TargetResponseHead& head : log.target<TargetResponseHead>())
            EXPECT_EQ(head.status, status) << context;
    }

    RawSocket target;
    RawSocket next; ///< The connection after the first one.
};

// Guards against callers that get the status of an earlier response with the body of their own: the late second copy
// of the earlier one breaks off within its head, and the next response follows on the same connection.
TEST_F(SurplusResponseTest, HeadThatBreaksOffBeforeTheNextResponseGivesItNoStatus)
{
    for (size_t cut = 1; cut < Early.size(); ++cut) {
        reset();
        answerFirst();
        client->execute(named(2));
        ASSERT_TRUE(acceptRequest(target));
        target.send(Early.substr(0, cut) + Late);
        ASSERT_TRUE(waitForCompletion());
        expectNoOtherStatusThan(500, Early.substr(0, cut));
    }
}

// Guards against the same where the second copy arrives while no request waits: libcurl takes a connection with unread
// bytes for a usable one.
TEST_F(SurplusResponseTest, ConnectionWithUnreadBytesIsNotUsed)
{
    for (size_t cut = 1; cut <= Early.size(); ++cut) {
        reset();
        answerFirst();
        target.send(Early.substr(0, cut));
        client->execute(named(2));
        ASSERT_TRUE(acceptRequest(next)) << cut;
        EXPECT_FALSE(target.hasReceived("GET"));
        next.send(Late);
        ASSERT_TRUE(waitForCompletion());
        EXPECT_EQ(log.target<TargetResponseDone>().size(), 1U);
        expectNoOtherStatusThan(500, Early.substr(0, cut));
    }
}

// Guards against the same in heads that consist of two responses in other ways: cut in a field, a folded line, within a
// line end, after the id.
TEST_F(SurplusResponseTest, HeadsOfTwoResponsesFailOnAKeptConnection)
{
    const std::string rest = "X-Id: 2\r\nContent-Length: 0\r\n\r\n";
    const std::vector<std::string> heads {
        "HTTP/1.1 200 FinHTTP/1.1 500 Internal\r\n" + rest,
        "HTTP/1.1 200 OK\r\nX-Load: 1,HTTP/1.0 500\r\n" + rest,
        "HTTP/1.1 200 OK\r\nX: 1\r\n folded HTTP/1.1 500 Internal\r\n" + rest,
        "HTTP/1.1 200 OK\rHTTP/1.1 500 Internal\r\n" + rest,
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + rest,
    };
    for (const std::string& head : heads) {
        reset();
        answerFirst();
        client->execute(named(2));
        ASSERT_TRUE(acceptRequest(target));
        target.send(head);
        ASSERT_TRUE(waitForCompletion());
        ASSERT_EQ(log.target<TargetFailed>().size(), 1U) << head;
        EXPECT_TRUE(log.target<TargetFailed>().front().hasSurplus) << head;
    }
}

// Guards against targets that are taken for faulty because of a head that is only bad, or of bytes before their close.
TEST_F(SurplusResponseTest, OnlyBytesThatNoRequestWaitedForAreReportedAsSurplus)
{
    answerFirst();
    client->execute(named(2));
    ASSERT_TRUE(acceptRequest(target));
    target.send("HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\n"); // Without a length.
    ASSERT_TRUE(waitForCompletion());
    ASSERT_EQ(log.target<TargetFailed>().size(), 1U);
    EXPECT_FALSE(log.target<TargetFailed>().front().hasSurplus);

    reset();
    answerFirst();
    target.send("HTTP/1.1 408 Timeout\r\nContent-Length: 0\r\n\r\n");
    target.close();
    client->execute(named(2));
    answerSecondOnNewConnection();
    ASSERT_EQ(log.target<TargetResponseHead>().size(), 1U);
    EXPECT_FALSE(log.target<TargetResponseHead>().front().hasSurplus);
}

TEST_F(SurplusResponseTest, UnreadBytesAreReportedWithTheNextResponse)
{
    answerFirst();
    target.send(Early);
    client->execute(named(2));
    answerSecondOnNewConnection();
    ASSERT_EQ(log.target<TargetResponseHead>().size(), 1U);
    EXPECT_TRUE(log.target<TargetResponseHead>().front().hasSurplus);
}

TEST_F(SurplusResponseTest, ExclusiveConnectionCarriesNoOtherRequest)
{
    answerFirst();
    TargetStart start = named(2);
    start.needsExclusiveConnection = true;
    client->execute(start);
    answerSecondOnNewConnection();
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 1U);
    EXPECT_TRUE(runner.runUntil([&] { return next.isPeerDisconnected(); }));
}

// Guards against requests without an id, or with one that reads like a part of a head, that fail on kept connections:
// callers choose their ids.
TEST_F(SurplusResponseTest, RequestsThatNoResponseCanNameGetConnectionsOfTheirOwn)
{
    for (const std::string_view id : {"", "x HTTP/1.1 200"}) {
        reset();
        answerFirst();
        TargetStart start = request(2);
        start.echoedHeader = "X-Id";
        if (!id.empty())
            start.headers.push_back({"X-Id", std::string(id)});
        client->execute(start);
        ASSERT_TRUE(acceptRequest(next)) << id;
        next.send(id.empty() ? std::string(Response)
                             : "HTTP/1.1 200 OK\r\nX-Id: " + std::string(id) + "\r\nContent-Length: 0\r\n\r\n");
        ASSERT_TRUE(waitForCompletion());
        EXPECT_EQ(log.target<TargetResponseDone>().size(), 1U) << id;
    }
}

// Guards against requests that are lost because their target had closed the kept connection before they were sent.
TEST_F(SurplusResponseTest, ConnectionThatItsTargetClosedIsNotUsed)
{
    answerFirst();
    target.close();
    client->execute(named(2));
    answerSecondOnNewConnection();
    EXPECT_EQ(log.target<TargetResponseDone>().size(), 1U);
}

// Guards against a response without an id, such as a second refusal, that counts for the next request on its
// connection.
TEST_F(SurplusResponseTest, ResponseThatNamesNoRequestFailsOnAKeptConnection)
{
    const std::string unnamed = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    answerFirst();
    client->execute(named(2));
    ASSERT_TRUE(acceptRequest(target));
    target.send(unnamed);
    ASSERT_TRUE(waitForCompletion());
    EXPECT_TRUE(log.target<TargetResponseHead>().empty());
    ASSERT_EQ(log.target<TargetFailed>().size(), 1U);
    EXPECT_TRUE(log.target<TargetFailed>().front().mayHaveReachedTarget);
    EXPECT_TRUE(runner.runUntil([&] { return target.isPeerDisconnected(); }));

    reset();
    client->execute(named(3));
    ASSERT_TRUE(acceptRequest(target));
    target.send(unnamed);
    ASSERT_TRUE(waitForCompletion());
    EXPECT_EQ(log.target<TargetResponseHead>().size(), 1U) << "nothing else can be the response on a new connection";
}

// Guards against responses to probes, which name no request, that count for the next request on their connection.
TEST_F(SurplusResponseTest, ConnectionOfARequestWithoutIdIsNotKept)
{
    client->execute(request(1));
    ASSERT_TRUE(acceptRequest(target));
    target.send(Response);
    ASSERT_TRUE(waitForCompletion());
    EXPECT_TRUE(runner.runUntil([&] { return target.isPeerDisconnected(); }));
}

} // namespace
} // namespace saltvane::net::tests
