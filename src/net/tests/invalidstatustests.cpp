/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/responsehead.h"
#include "net/tests/targetclientfixture.h"

#include <array>

namespace saltvane::net::tests {
namespace {

/// Statuses outside 100 to 599 are invalid (RFC 9110, section 15).
constexpr std::array<std::string_view, 7> TooLargeStatuses {"600", "601", "666", "700", "799", "900", "999"};
constexpr std::array<std::string_view, 4> TooSmallStatuses {"000", "001", "020", "099"};
constexpr std::array<std::string_view, 9> NoStatuses {"20", "2", "2000", "0200", "-20", "+20", "2 0", "20x", ""};

/// A target that answers with a status that no response can have, and otherwise as it should.
class InvalidStatusTest : public TargetClientTest {
protected:
    enum class Connection { New, Kept };

    [[nodiscard]] static std::string responseWith(std::string_view status)
    {
        return "HTTP/1.1 " + std::string(status) + " Reason\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";
    }
    /// Sends a request, on a connection that carried another one where `connection` says so, and the response to it.
    void respond(const std::string& method, std::string_view response, Connection connection)
    {
        SetUp(); // A client that has no connections.
        log.events.clear();
        target = RawSocket();
        if (connection == Connection::Kept) {
            client->execute(namedRequest(++lastDispatch));
            ASSERT_TRUE(acceptRequest(target));
            target.send(NamedResponse);
            ASSERT_TRUE(waitForCompletion());
        }
        log.events.clear();
        target.received.clear();
        // On a connection of their own come requests that may run once, and health checks.
        TargetStart start
            = connection == Connection::Kept ? namedRequest(++lastDispatch) : request(++lastDispatch, false);
        start.method = method;
        client->execute(start);
        ASSERT_TRUE(acceptRequest(target));
        target.send(response);
        ASSERT_TRUE(waitForCompletion()) << response;
    }
    void expectBroken(std::string_view status)
    {
        for (const Connection connection : {Connection::New, Connection::Kept}) {
            for (const std::string method : {"GET", "HEAD"}) {
                for (const std::string_view interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"})
                    expectBrokenResponse(method, std::string(interim) + responseWith(status), connection);
            }
        }
    }
    void expectBrokenResponse(const std::string& method, const std::string& response, Connection connection)
    {
        const std::string context
            = method + (connection == Connection::Kept ? ", kept connection: " : ", new connection: ") + response;
        respond(method, response, connection);
        EXPECT_TRUE(log.target<TargetResponseHead>().empty()) << context;
        EXPECT_TRUE(log.target<TargetResponseBody>().empty()) << context;
        EXPECT_TRUE(log.target<TargetResponseDone>().empty()) << context;
        ASSERT_EQ(log.target<TargetFailed>().size(), 1U) << context;
        EXPECT_TRUE(log.target<TargetFailed>().front().mayHaveReachedTarget) << context;
        EXPECT_FALSE(log.target<TargetFailed>().front().isRefused) << context;
        ASSERT_TRUE(runner.runUntil([&] { return target.isPeerDisconnected(); })) << context;
    }
    [[nodiscard]] std::string failure() const
    {
        const auto failed = log.target<TargetFailed>();
        return failed.empty() ? std::string() : failed.front().message;
    }

    RawSocket target;
};

// Guards against callers that get a status of 600 or more as an answer, from a target in trouble.
TEST_F(InvalidStatusTest, ResponseWithAStatusFrom600IsBroken)
{
    for (const std::string_view status : TooLargeStatuses)
        expectBroken(status);
}

// Guards against callers that get status 000 as an answer, as other systems pass it on.
TEST_F(InvalidStatusTest, ResponseWithStatus000IsBroken) { expectBroken("000"); }

// Guards against callers that get a status below 100 as an answer.
TEST_F(InvalidStatusTest, ResponseWithAStatusBelow100IsBroken)
{
    for (const std::string_view status : TooSmallStatuses)
        expectBroken(status);
}

// Guards against statuses that are read from more or fewer than three digits.
TEST_F(InvalidStatusTest, ResponseWithoutThreeDigitsOfStatusIsBroken)
{
    for (const std::string_view status : NoStatuses)
        expectBroken(status);
}

// Guards against heads whose status only libcurl rejects, as it does below 100, and log lines without the cause.
TEST_F(InvalidStatusTest, HeadWithAnInvalidStatusIsBad)
{
    for (const std::string_view status : {"000", "001", "099", "600", "700", "999"}) {
        ResponseHead head(false);
        EXPECT_EQ(head.addLine("HTTP/1.1 " + std::string(status) + " Reason\r\n"), ResponseHead::State::Bad) << status;
        EXPECT_EQ(head.error(), "bad status") << status;
    }
    respond("GET", responseWith("600"), Connection::New);
    EXPECT_EQ(failure(), "bad status");
}

// Guards against valid statuses that count as broken: the first and last ones, and ones without a meaning.
TEST_F(InvalidStatusTest, ResponsesWithValidStatusesArePassedOn)
{
    for (const int status : {200, 299, 300, 418, 499, 500, 599}) {
        for (const Connection connection : {Connection::New, Connection::Kept}) {
            respond("GET", responseWith(std::to_string(status)), connection);
            ASSERT_EQ(log.target<TargetResponseHead>().size(), 1U) << status;
            EXPECT_EQ(log.target<TargetResponseHead>().front().status, status);
            EXPECT_EQ(log.target<TargetResponseDone>().size(), 1U) << status;
        }
    }
}

} // namespace
} // namespace saltvane::net::tests
