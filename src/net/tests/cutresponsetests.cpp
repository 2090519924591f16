/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/targetclientfixture.h"

namespace saltvane::net::tests {
namespace {

/// A target that sends the first bytes of a response and ends.
class CutResponseTest : public TargetClientTest {
protected:
    enum class End { Close, Reset };

    /// Whether the request completes after these bytes.
    [[nodiscard]] bool completesAfter(const std::string& method, std::string_view bytes, End end)
    {
        log.events.clear();
        TargetStart start = request(++lastDispatch);
        start.method = method;
        client->execute(start);
        RawSocket target;
        if (!acceptRequest(target)) {
            ADD_FAILURE() << "no request arrived";
            return false;
        }
        target.send(bytes);
        if (end == End::Close)
            target.close();
        else
            target.closeWithReset();
        EXPECT_TRUE(waitForCompletion());
        return !log.target<TargetResponseDone>().empty();
    }
    void expectWholeOnly(const std::string& method, const std::string& response)
    {
        expectNotWhole(method, response, response.size());
        EXPECT_TRUE(completesAfter(method, response, End::Close)) << method << ", " << response;
    }
    /// A chunked body is whole from its last chunk on, also if the end of the message is missing (RFC 9112, section 8).
    void expectWholeFromLastChunk(const std::string& response, const std::string& text)
    {
        constexpr std::string_view LastChunk = "\r\n0\r\n";
        const size_t wholeSize = response.find(LastChunk) + LastChunk.size();
        expectNotWhole("GET", response, wholeSize);
        for (size_t size = wholeSize; size <= response.size(); ++size) {
            const bool isComplete = completesAfter("GET", response.substr(0, size), End::Close);
            EXPECT_TRUE(!isComplete || body() == text) << size << " bytes of " << response;
            EXPECT_TRUE(isComplete || size < response.size()) << response;
        }
    }
    void expectNotWhole(const std::string& method, const std::string& response, size_t sizes)
    {
        for (size_t size = 0; size < sizes; ++size) {
            for (const End end : {End::Close, End::Reset}) {
                EXPECT_FALSE(completesAfter(method, response.substr(0, size), end))
                    << method << ", " << size << " bytes of " << response;
            }
        }
    }
};

// Guards against callers that get a success with an empty or short body, because a target stopped within its response:
// no beginning of a response may count as a whole one, wherever it ends.
TEST_F(CutResponseTest, BeginningsOfResponsesWithBodyDoNotComplete)
{
    expectWholeOnly("GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"price\":12}");
    expectWholeOnly("GET", "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 0\r\n\r\n");
    expectWholeOnly("GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
    expectWholeOnly("GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    expectWholeFromLastChunk(chunkedHead + "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "abc");
    expectWholeFromLastChunk(chunkedHead + "1\r\na\r\n0\r\nX-Sum: 1\r\n\r\n", "a");
}

// Guards against the same for responses that end with their head.
TEST_F(CutResponseTest, BeginningsOfResponsesWithoutBodyDoNotComplete)
{
    expectWholeOnly("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
    expectWholeOnly("HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    expectWholeOnly("HEAD", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    for (const std::string method : {"GET", "HEAD"}) {
        expectWholeOnly(method, "HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n");
        expectWholeOnly(method, "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n");
    }
}

// Guards against interim responses that count as the final one, whose head is cut.
TEST_F(CutResponseTest, InterimResponsesAndABeginningDoNotComplete)
{
    for (const std::string_view interim :
        {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 0\r\n\r\n"}) {
        expectWholeOnly("GET", std::string(interim) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        expectWholeOnly("GET", std::string(interim) + "HTTP/1.1 204 No Content\r\n\r\n");
        expectWholeOnly("HEAD", std::string(interim) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
    }
}

// Guards against bodies that end with their connection: nobody can tell whether they are whole.
TEST_F(CutResponseTest, ResponsesThatEndWithTheirConnectionDoNotComplete)
{
    for (const std::string& response : {std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc"),
             std::string("HTTP/1.0 200 OK\r\nX-A: 1\r\n\r\nabc")}) {
        for (size_t size = 0; size <= response.size(); ++size) {
            EXPECT_FALSE(completesAfter("GET", response.substr(0, size), End::Close)) << size << " of " << response;
            EXPECT_FALSE(completesAfter("GET", response.substr(0, size), End::Reset)) << size << " of " << response;
        }
    }
}

} // namespace
} // namespace saltvane::net::tests
