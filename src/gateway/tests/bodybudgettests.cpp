/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

#include <algorithm>
#include <map>
#include <vector>

namespace saltvane::gateway::test {

namespace {

constexpr uint64_t Megabyte = 1024 * 1024;
constexpr uint64_t HostMemory = 16 * Megabyte;
constexpr uint64_t Budget = HostMemory / 2; ///< For bodies, by docs/SETTINGS.md.
constexpr uint64_t LargeBudget = Budget / 8 * 7; ///< The part that large bodies may use.
constexpr uint64_t PartBytes = 16 * 1024; ///< Of a body, as they arrive in one event.

/// Callers that send bodies as far as their windows allow.
class BodyBudgetTest : public GatewayFixture {
protected:
    explicit BodyBudgetTest(uint64_t memoryBytes = HostMemory)
        : GatewayFixture({.memoryBytes = memoryBytes})
    {
        installPlan(1, R"(,{"name":"upload","host":"prices.example","path_prefix":"/upload/","kind":"repeatable",
            "timeout_ms":100000,"objective_ms":500,"service":"quotes","attempts":2})");
        std::vector<model::TargetRecord> targets;
        for (const char* id : {"t-1", "t-2"}) {
            targets.push_back(target(id));
            targets.back().slots = 100;
        }
        reportTargets(std::move(targets));
    }

    struct Upload {
        requests::HttpHandle handle;
        uint64_t length = 0;
        uint64_t sent = 0;
        uint64_t window = requests::InitialBodyWindow;
    };

    static CallerRequest head() { return {.method = "POST", .path = "/upload/1", .object = "", .deadlineMs = "90000"}; }
    Upload start(uint64_t length, bool isChunked = false)
    {
        CallerRequest request = head();
        request.bodyLength = length;
        request.isChunked = isChunked;
        return {.handle = sendRequestHead(request), .length = length};
    }
    /// Sends the body up to this offset, or as far as the window allows.
    void sendUpTo(Upload& upload, uint64_t end)
    {
        while (!isAnswered(upload)) {
            upload.window += takeWindow(upload.handle);
            const uint64_t count = std::min({PartBytes, upload.window, end - upload.sent});
            if (count == 0)
                return;
            upload.sent += count;
            upload.window -= count;
            sendRequestBodyPart(upload.handle, std::string(count, 'x'), upload.sent == upload.length);
        }
    }
    /// Sends all but the last byte.
    void stopShort(Upload& upload) { sendUpTo(upload, upload.length - 1); }
    void sendAll(Upload& upload) { sendUpTo(upload, upload.length); }
    void abort(const Upload& upload) { GatewayFixture::abort(upload.handle); }

    [[nodiscard]] bool isAnswered(const Upload& upload) { return responseTo(upload).has_value(); }
    [[nodiscard]] std::optional<requests::HttpRespond> responseTo(const Upload& upload)
    {
        while (auto response = takeResponse())
            responses_.emplace(response->handle, *response);
        const auto found = responses_.find(upload.handle);
        return found == responses_.end() ? std::nullopt : std::optional(found->second);
    }
    [[nodiscard]] std::string reasonOf(const Upload& upload)
    {
        const auto response = responseTo(upload);
        return response ? header(response->headers, "Saltvane-Reason") : std::string();
    }
    /// Bytes of bodies that were taken from callers whose requests have no answer.
    [[nodiscard]] uint64_t taken(const std::vector<Upload>& uploads)
    {
        uint64_t bytes = 0;
        for (const Upload& upload : uploads)
            bytes += isAnswered(upload) ? 0 : upload.sent;
        return bytes;
    }
    [[nodiscard]] std::vector<Upload> startMany(size_t count, uint64_t length, bool areChunked)
    {
        std::vector<Upload> uploads;
        for (size_t i = 0; i < count; ++i)
            uploads.push_back(start(length, areChunked));
        return uploads;
    }

private:
    std::map<requests::HttpHandle, requests::HttpRespond> responses_;
};

class LargestBodyTest : public BodyBudgetTest {
protected:
    LargestBodyTest()
        : BodyBudgetTest(160 * Megabyte)
    {
    }
};

} // namespace

// Guards against callers that end the process: bodies of legal size that stop a byte short were all kept in memory.
TEST_F(BodyBudgetTest, BodiesThatStopShortStayWithinTheBudget)
{
    for (const bool areChunked : {false, true}) {
        std::vector<Upload> uploads = startMany(40, 4 * Megabyte, areChunked);
        for (int round = 0; round < 20; ++round) {
            for (Upload& upload : uploads) {
                stopShort(upload);
                ASSERT_LE(taken(uploads), Budget);
            }
            advance(100ms);
        }
        for (const Upload& upload : uploads)
            abort(upload);
        advance(20ms);
    }
}

// Guards against the first bytes of many requests, which need no window, exceeding the budget together.
TEST_F(BodyBudgetTest, FirstBytesOfManyRequestsStayWithinTheBudget)
{
    std::vector<Upload> uploads = startMany(400, Megabyte, false);
    for (Upload& upload : uploads)
        sendUpTo(upload, requests::InitialBodyWindow);
    EXPECT_LE(taken(uploads), Budget);
}

// Guards against large requests that a host without other work could hold, and refuses.
TEST_F(LargestBodyTest, WholeBodyOfThePlansLimitGetsThrough)
{
    for (const bool isChunked : {false, true}) {
        Upload upload = start(64 * Megabyte, isChunked);
        sendAll(upload);
        EXPECT_FALSE(isAnswered(upload));
        const auto starts = takeStarts();
        ASSERT_EQ(starts.size(), 1U);
        const auto bodies = takeRequestBodies();
        ASSERT_EQ(bodies.size(), 1U);
        EXPECT_EQ(bodies[0].bytes.size(), 64 * Megabyte);
        EXPECT_TRUE(bodies[0].isLast);
        answer(starts[0], {});
        EXPECT_EQ(responseTo(upload)->status, 200);
    }
}

// Guards against requests that each hold a part of the memory and wait for the rest until their deadlines.
TEST_F(BodyBudgetTest, OneOfTwoBodiesThatWaitForEachOtherGivesWay)
{
    Upload first = start(6 * Megabyte);
    Upload second = start(6 * Megabyte);
    for (int round = 0; round < 50; ++round) {
        sendUpTo(first, std::min(first.length, first.sent + Megabyte / 2));
        sendUpTo(second, std::min(second.length, second.sent + Megabyte / 2));
        advance(20ms);
    }
    ASSERT_NE(isAnswered(first), isAnswered(second));
    const Upload& refused = isAnswered(first) ? first : second;
    const Upload& served = isAnswered(first) ? second : first;
    EXPECT_EQ(responseTo(refused)->status, 503);
    EXPECT_EQ(reasonOf(refused), "no-memory");
    EXPECT_GT(std::stod(header(responseTo(refused)->headers, "Retry-After")), 0.1);
    EXPECT_EQ(served.sent, served.length);
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against large bodies that keep out ordinary requests.
TEST_F(BodyBudgetTest, SmallRequestGetsThroughBesideAFullBudget)
{
    std::vector<Upload> uploads = startMany(10, 4 * Megabyte, false);
    for (Upload& upload : uploads)
        stopShort(upload);
    EXPECT_GE(taken(uploads), LargeBudget / 2);
    (void)takeStarts();
    Upload small = start(1000);
    sendAll(small);
    EXPECT_FALSE(isAnswered(small));
    EXPECT_EQ(takeStarts().size(), 1U);
    Upload smallChunked = start(1000, true);
    sendAll(smallChunked);
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against callers that stop short keeping out all later large requests.
TEST_F(BodyBudgetTest, BodyThatHasStoodStillLongestGivesWay)
{
    Upload first = start(3 * Megabyte);
    stopShort(first);
    advance(100ms);
    Upload second = start(3 * Megabyte);
    stopShort(second);
    advance(400ms);
    Upload third = start(3 * Megabyte);
    sendAll(third);
    EXPECT_EQ(reasonOf(first), "no-memory");
    EXPECT_FALSE(isAnswered(second));
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against a newer request taking the memory of one that makes progress.
TEST_F(BodyBudgetTest, BodyThatMakesProgressDoesNotGiveWay)
{
    Upload first = start(6 * Megabyte);
    sendUpTo(first, 5 * Megabyte);
    for (int round = 0; round < 50; ++round) {
        Upload other = start(6 * Megabyte);
        stopShort(other);
        advance(20ms);
        sendUpTo(first, first.sent + 1000);
        abort(other);
    }
    sendAll(first);
    EXPECT_FALSE(isAnswered(first));
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against a request that waits for memory and isn't continued when other requests release it.
TEST_F(BodyBudgetTest, BodyThatWaitsContinuesWhenMemoryIsReleased)
{
    Upload first = start(5 * Megabyte);
    sendAll(first);
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    Upload second = start(5 * Megabyte);
    sendAll(second);
    EXPECT_LT(second.sent, second.length);
    advance(1s);
    EXPECT_FALSE(isAnswered(second));
    answer(starts[0], {});
    (void)takeRequestBodies();
    advance(20ms);
    sendAll(second);
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against bodies that are kept after their requests have ended.
TEST_F(BodyBudgetTest, MemoryOfEndedRequestsIsReleased)
{
    Upload answered = start(Megabyte);
    sendAll(answered);
    EXPECT_GE(gateway_->status(now_).bodyBytes, Megabyte);
    answer(takeStarts().at(0), {});
    Upload aborted = start(Megabyte);
    stopShort(aborted);
    abort(aborted);
    EXPECT_GT(gateway_->status(now_).bodyBytes, 0U); // Held by the dispatch.
    (void)takeRequestBodies();
    EXPECT_EQ(gateway_->status(now_).bodyBytes, 0U);
}

// Guards against a second copy of the body in memory for each attempt.
TEST_F(BodyBudgetTest, RetrySharesTheBodyWithTheFirstAttempt)
{
    Upload upload = start(Megabyte);
    sendAll(upload);
    const uint64_t held = gateway_->status(now_).bodyBytes;
    EXPECT_EQ(held, Megabyte);
    const auto first = takeRequestBodies();
    fail(takeStarts().at(0), false);
    ASSERT_EQ(takeStarts().size(), 1U);
    const auto second = takeRequestBodies();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].bytes.size(), Megabyte);
    EXPECT_EQ(second[0].bytes.block(0).data(), first.at(0).bytes.block(0).data());
    EXPECT_EQ(gateway_->status(now_).bodyBytes, held);
}

// Guards against bodies that never fit being taken, which would make other requests give way.
TEST_F(BodyBudgetTest, BodyBeyondTheBudgetIsTooLarge)
{
    const Upload stated = start(LargeBudget + 1);
    ASSERT_TRUE(isAnswered(stated));
    EXPECT_EQ(responseTo(stated)->status, 413);
    Upload chunked = start(LargeBudget + Megabyte, true);
    sendAll(chunked);
    ASSERT_TRUE(isAnswered(chunked));
    EXPECT_EQ(responseTo(chunked)->status, 413);
    EXPECT_EQ(gateway_->status(now_).bodyBytes, 0U);
}

// Guards against bodies without an end that hold memory until a late deadline.
TEST_F(BodyBudgetTest, BodyWithoutProgressTimesOut)
{
    Upload upload = start(Megabyte);
    stopShort(upload);
    const Upload headOnly = start(1000);
    advance(40s);
    for (const Upload& stopped : {upload, headOnly}) {
        ASSERT_TRUE(isAnswered(stopped));
        EXPECT_EQ(responseTo(stopped)->status, 408);
        EXPECT_EQ(reasonOf(stopped), "body-timeout");
        EXPECT_EQ(header(responseTo(stopped)->headers, "Connection"), "close");
    }
    EXPECT_EQ(gateway_->status(now_).bodyBytes, 0U);
    EXPECT_EQ(gateway_->counters().refusal(model::Reason::BodyTimeout), 2U);
}

// Guards against callers that hold memory and connections with a byte from time to time, and against the refusal of
// slow callers that make progress.
TEST_F(BodyBudgetTest, OnlyTricklingBodyTimesOut)
{
    Upload trickle = start(100'000);
    Upload slow = start(100'000);
    for (int second = 0; second < 40; ++second) {
        sendUpTo(trickle, trickle.sent + 2);
        sendUpTo(slow, slow.sent + 1000);
        advance(1s);
    }
    EXPECT_EQ(reasonOf(trickle), "body-timeout");
    EXPECT_FALSE(isAnswered(slow));
}

// Guards against a request that waits for memory and is refused as if its caller sent nothing.
TEST_F(BodyBudgetTest, BodyThatWaitsDoesNotTimeOut)
{
    Upload first = start(5 * Megabyte);
    sendAll(first);
    Upload second = start(5 * Megabyte);
    sendAll(second);
    advance(60s);
    EXPECT_FALSE(isAnswered(second));
}

} // namespace saltvane::gateway::test
