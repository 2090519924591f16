/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/headerfilter.h"
#include "requests/tests/entryfixture.h"

namespace saltvane::requests {
namespace {

using model::Direction;
using model::Outcome;
using model::Reason;

class ForwardTest : public EntryFixture {
protected:
    model::ForwardRequest forward(size_t index = 0) { return sent<model::ForwardRequest>().at(index); }
    void head(std::optional<uint64_t> length, int status = 200)
    {
        deliver(LocalOwner,
            model::ForwardResponseHead {.correlation = forward().correlation, .status = status, .bodyLength = length});
    }
    void body(uint64_t offset, const std::string& bytes, bool isLast = false)
    {
        deliver(LocalOwner,
            model::ForwardBody {.correlation = forward().correlation,
                .direction = Direction::ToClient,
                .offset = offset,
                .bytes = bytes,
                .isLast = isLast});
    }
    void expectBroken(HttpHandle handle)
    {
        EXPECT_EQ(aborted_, std::vector<HttpHandle> {handle});
        EXPECT_TRUE(finished_.empty());
        EXPECT_EQ(creditStore_.inUse(), 0);
        EXPECT_EQ(entry_->inFlight(), 0U);
        EXPECT_EQ(counters_.value(model::Counter::BrokenBodies), 1U);
    }
};

constexpr uint64_t LongLength = 100 * 1024;

TEST_F(ForwardTest, RetriesNotRunAtAnotherOwner)
{
    const HttpHandle handle = post(ownKey());
    completeForward(forward(), Outcome::NotRun, Reason::TargetShed);
    ASSERT_EQ(sent<model::ForwardRequest>().size(), 2U);
    EXPECT_TRUE(steering_.lastIsRetry);
    EXPECT_EQ(counters_.retries[static_cast<size_t>(Reason::TargetShed)], 1U);
    const auto bodies = sent<model::ForwardBody>();
    ASSERT_EQ(bodies.size(), 2U);
    EXPECT_EQ(bodies[1].bytes, "amount=1");
    sendResponse(forward(1), "done", RemoteOwner);
    EXPECT_EQ(bodies_[handle], "done");
    EXPECT_EQ(creditStore_.inUse(), 0);
}

TEST_F(ForwardTest, AttemptedTargetsAreExcluded)
{
    call({});
    deliver(LocalOwner,
        model::ForwardEnd {.correlation = forward().correlation,
            .outcome = Outcome::NotRun,
            .reason = Reason::TargetShed,
            .target = TargetId("worker-3")});
    EXPECT_EQ(forward(1).excludedTargets, std::vector<TargetId> {TargetId("worker-3")});
}

TEST_F(ForwardTest, NoRetryForFinalReasonsOrWithoutBudget)
{
    const HttpHandle late = call({});
    completeForward(forward(), Outcome::NotRun, Reason::QueueTimeout);
    expectRefusal(late, Outcome::NotRun, Reason::QueueTimeout, 504);
    budget_.remaining = 0;
    const HttpHandle refused = call({});
    completeForward(forward(1), Outcome::NotRun, Reason::QueueFull);
    expectRefusal(refused, Outcome::NotRun, Reason::QueueFull, 503);
    EXPECT_EQ(counters_.retries[static_cast<size_t>(Reason::RetryBudgetSpent)], 1U);
}

TEST_F(ForwardTest, AttemptsAreBounded)
{
    build({.maxAttempts = 2});
    const HttpHandle handle = call({});
    completeForward(forward(), Outcome::NotRun, Reason::QueueFull);
    completeForward(forward(1), Outcome::NotRun, Reason::NoTarget, RemoteOwner);
    expectRefusal(handle, Outcome::NotRun, Reason::NoTarget, 503);
}

TEST_F(ForwardTest, UnknownIsRetriedOnlyWhenRepeatable)
{
    const HttpHandle wire = post(ownKey());
    completeForward(forward(), Outcome::Unknown, Reason::TargetFailed);
    expectRefusal(wire, Outcome::Unknown, Reason::TargetFailed, 502);
    EXPECT_EQ(sent<model::ForwardRequest>().size(), 1U);
    call({});
    completeForward(forward(1), Outcome::Unknown, Reason::TargetFailed);
    EXPECT_EQ(sent<model::ForwardRequest>().size(), 3U);
}

TEST_F(ForwardTest, UnknownStaysUnknownWhenTheRetryIsNotRun)
{
    const HttpHandle handle = call({});
    completeForward(forward(), Outcome::Unknown, Reason::TargetFailed);
    completeForward(forward(1), Outcome::NotRun, Reason::QueueTimeout, RemoteOwner);
    expectRefusal(handle, Outcome::Unknown, Reason::TargetFailed, 502);
}

TEST_F(ForwardTest, HostLostIsUnknownOrRetried)
{
    const HttpHandle wire = post(ownKey());
    const HttpHandle read = call({});
    entry_->onHostLost(LocalOwner, now_);
    collect();
    expectRefusal(wire, Outcome::Unknown, Reason::PeerLost, 502);
    EXPECT_FALSE(hasResponse(read));
    sendResponse(forward(2), "again", RemoteOwner);
    EXPECT_EQ(bodies_[read], "again");
    EXPECT_EQ(creditStore_.inUse(), 0);
}

TEST_F(ForwardTest, FramesFromOtherPeersAreDroppedAndCounted)
{
    const HttpHandle handle = call({});
    head(2);
    sendResponse(forward(), "no", RemoteOwner); // From another host.
    deliver(LocalOwner,
        model::ForwardBody {
            .correlation = forward().correlation, .direction = Direction::ToClient, .bytes = "xx", .isLast = true},
        Incarnation {OtherIncarnation.value + 1});
    EXPECT_EQ(counters_.value(model::Counter::LateFrames), 4U);
    body(0, "ok", true);
    completeForward(forward(), Outcome::Answered, Reason::None);
    EXPECT_EQ(bodies_[handle], "ok");
}

// Guards against frames of an earlier attempt that count for the next one of the same request.
TEST_F(ForwardTest, FramesOfAnEarlierAttemptDoNotCount)
{
    const HttpHandle handle = call({});
    head(5);
    completeForward(forward(), Outcome::Unknown, Reason::TargetFailed);
    ASSERT_EQ(sent<model::ForwardRequest>().size(), 2U);
    head(5, 500);
    body(0, "early", true);
    completeForward(forward(), Outcome::Answered, Reason::None);
    deliver(RemoteOwner, model::ForwardEnd {.correlation = forward().correlation, .outcome = Outcome::Answered});
    EXPECT_FALSE(hasResponse(handle));
    sendResponse(forward(1), "later", RemoteOwner);
    EXPECT_EQ(response(handle).status, 200);
    EXPECT_EQ(bodies_[handle], "later");
}

// Guards against callers that take a response for whole though its owner stopped within it: after any of its frames,
// with the link lost or the end reported.
TEST_F(ForwardTest, ResponsesCutAfterAnyFrameAreNotWhole)
{
    struct Kind {
        std::string method;
        int status;
        std::optional<uint64_t> length;
        std::vector<std::string> parts;
    };
    const std::vector<Kind> kinds {{"GET", 200, 10, {"12345", "67890"}},
        {"GET", 200, LongLength, {std::string(LongLength / 2, 'x'), std::string(LongLength / 2, 'x')}},
        {"GET", 200, std::nullopt, {"12345", "67890"}}, {"GET", 200, std::nullopt, {""}}, {"GET", 200, 0, {}},
        {"HEAD", 200, 10, {}}, {"HEAD", 200, std::nullopt, {}}, {"GET", 204, 0, {}}, {"GET", 304, std::nullopt, {}}};
    for (const Kind& kind : kinds) {
        for (size_t frames = 0; frames <= kind.parts.size() + 1; ++frames) {
            for (const bool isEndReported : {false, true}) {
                const bool isWhole = frames == kind.parts.size() + 1;
                if (isWhole && isEndReported)
                    continue;
                outgoing_.clear();
                finished_.clear();
                aborted_.clear();
                budget_.remaining = 0;
                const HttpHandle handle = call({.method = kind.method});
                if (frames > 0)
                    head(kind.length, kind.status);
                uint64_t offset = 0;
                for (size_t part = 0; part + 1 < frames; ++part) {
                    body(offset, kind.parts[part], part + 1 == kind.parts.size());
                    offset += kind.parts[part].size();
                }
                if (isEndReported)
                    completeForward(forward(), Outcome::Answered, Reason::None);
                else
                    entry_->onHostLost(LocalOwner, now_);
                collect();
                const std::string what
                    = kind.method + " " + std::to_string(kind.status) + ", " + std::to_string(frames) + " frames";
                ASSERT_TRUE(hasResponse(handle)) << what;
                const bool isWholeError = response(handle).isLast && response(handle).status == 502;
                const bool isAborted = finished_.empty() && aborted_ == std::vector<HttpHandle> {handle};
                EXPECT_TRUE(isWholeError || isAborted) << what;
            }
        }
    }
}

TEST_F(ForwardTest, BrokenSmallResponseIsUnknownNotCut)
{
    const HttpHandle handle = post(ownKey());
    head(10);
    body(0, "12345");
    EXPECT_FALSE(hasResponse(handle));
    completeForward(forward(), Outcome::Unknown, Reason::TargetFailed);
    expectRefusal(handle, Outcome::Unknown, Reason::TargetFailed, 502);
}

TEST_F(ForwardTest, AnsweredWithoutAllBytesIsUnknown)
{
    const HttpHandle handle = post(ownKey());
    head(10);
    body(0, "12345", true);
    completeForward(forward(), Outcome::Answered, Reason::None);
    expectRefusal(handle, Outcome::Unknown, Reason::TargetFailed, 502);
}

TEST_F(ForwardTest, LongResponseStreamsAndEndsOnlyWhenComplete)
{
    const HttpHandle handle = call({});
    head(LongLength);
    EXPECT_FALSE(response(handle).isLast);
    EXPECT_EQ(response(handle).bodyLength, LongLength);
    body(0, std::string(LongLength, 'x'), true);
    EXPECT_TRUE(finished_.empty());
    completeForward(forward(), Outcome::Answered, Reason::None);
    EXPECT_EQ(finished_.size(), 1U);
    EXPECT_EQ(bodies_[handle].size(), LongLength);
}

TEST_F(ForwardTest, GapOverlapAndExcessAbortTheConnection)
{
    struct Case {
        uint64_t offset;
        size_t size;
    };
    for (const Case& broken : {Case {1001, 10}, Case {999, 10}, Case {1000, LongLength}}) {
        aborted_.clear();
        outgoing_.clear();
        counters_ = {};
        const HttpHandle handle = call({});
        head(LongLength);
        body(0, std::string(1000, 'x'));
        body(broken.offset, std::string(broken.size, 'y'));
        expectBroken(handle);
        EXPECT_EQ(sent<model::ForwardCancel>().size(), 1U);
    }
}

// Guards against callers that get a status above 599 as an answer, from an owner that passes it on.
TEST_F(ForwardTest, ResponsesWithInvalidStatusesAreBroken)
{
    for (const int status : {600, 999}) {
        for (const uint64_t length : {uint64_t {4}, LongLength}) {
            outgoing_.clear();
            const HttpHandle handle = post(ownKey());
            head(length, status);
            expectRefusal(handle, Outcome::Unknown, Reason::TargetFailed, 502);
            EXPECT_EQ(sent<model::ForwardRequest>().size(), 1U) << status;
            EXPECT_EQ(sent<model::ForwardCancel>().size(), 1U) << status;
            EXPECT_EQ(creditStore_.inUse(), 0) << status;
        }
    }
}

TEST_F(ForwardTest, ShortChunkedResponseAbortsTheConnection)
{
    const HttpHandle handle = call({});
    head(std::nullopt);
    body(0, "part");
    completeForward(forward(), Outcome::Answered, Reason::None); // The last frame is missing.
    expectBroken(handle);
}

TEST_F(ForwardTest, DeadlineDuringTheResponseAbortsTheConnection)
{
    const HttpHandle handle = call({});
    head(LongLength);
    advanceTime(2s);
    expectBroken(handle);
}

TEST_F(ForwardTest, HeadResponseKeepsItsLengthWithoutBody)
{
    const HttpHandle handle = call({.method = "HEAD"});
    head(LongLength);
    completeForward(forward(), Outcome::Answered, Reason::None);
    EXPECT_EQ(response(handle).bodyLength, LongLength);
    EXPECT_EQ(response(handle).bytes, "");
    EXPECT_TRUE(response(handle).isLast);
}

TEST_F(ForwardTest, ResponseWindowFollowsTheCaller)
{
    const HttpHandle handle = call({});
    head(LongLength);
    body(0, std::string(5000, 'x'));
    EXPECT_TRUE(sent<model::ForwardWindow>().empty());
    handleHttp(HttpResponseProgress {.handle = handle, .bytes = 5000});
    const auto windows = sent<model::ForwardWindow>();
    ASSERT_EQ(windows.size(), 1U);
    EXPECT_EQ(windows[0].bytes, 5000U);
    EXPECT_EQ(windows[0].direction, Direction::ToClient);
}

TEST_F(ForwardTest, LongRequestBodyFollowsTheOwnersWindow)
{
    const HttpHandle handle {++lastHandle_};
    handleHttp(HttpRequestStarted {.handle = handle,
        .method = "PUT",
        .path = "/file",
        .headers = {{"Saltvane-Service", "settlebox"}},
        .bodyLength = 3 * InitialBodyWindow,
        .remoteAddress = "10.1.0.1"});
    uint64_t allowed = InitialBodyWindow;
    uint64_t sentByCaller = 0;
    uint64_t acknowledged = 0;
    for (int round = 0; round < 100 && sentByCaller < 3 * InitialBodyWindow; ++round) {
        const uint64_t part
            = std::min<uint64_t>({allowed - sentByCaller, 100'000, 3 * InitialBodyWindow - sentByCaller});
        sentByCaller += part;
        const bool isLast = sentByCaller == 3 * InitialBodyWindow;
        handleHttp(HttpRequestBody {.handle = handle, .bytes = std::string(part, 'b'), .isLast = isLast});
        uint64_t total = 0;
        for (const auto& frame : sent<model::ForwardBody>()) {
            EXPECT_EQ(frame.offset, total);
            total += frame.bytes.size();
        }
        EXPECT_LE(total, acknowledged + InitialBodyWindow);
        const uint64_t taken = std::min<uint64_t>(total - acknowledged, 70'000);
        acknowledged += taken;
        deliver(LocalOwner,
            model::ForwardWindow {
                .correlation = forward().correlation, .direction = Direction::ToTarget, .bytes = taken});
        allowed = InitialBodyWindow;
        for (const HttpRequestWindow& window : windows_)
            allowed += window.bytes;
        EXPECT_LE(allowed, acknowledged + InitialBodyWindow);
    }
    EXPECT_EQ(sentByCaller, 3 * InitialBodyWindow);
    completeForward(forward(), Outcome::NotRun, Reason::QueueFull); // Released bytes can't be sent again.
    expectRefusal(handle, Outcome::NotRun, Reason::QueueFull, 503);
}

} // namespace
} // namespace saltvane::requests
