/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/headerfilter.h"
#include "requests/tests/entryfixture.h"

namespace saltvane::requests {
namespace {

using model::Outcome;
using model::Reason;

/// Requests with keys that this host issued.
class KeyTest : public EntryFixture {
protected:
    model::ForwardRequest forward(size_t index = 0) { return sent<model::ForwardRequest>().at(index); }
    size_t runs() { return sent<model::ForwardRequest>().size(); }
    void expectReplay(HttpHandle handle, const std::string& body)
    {
        EXPECT_EQ(headerOf(response(handle).headers, ReplayedHeader), "true");
        EXPECT_EQ(bodies_[handle], body);
    }
};

TEST_F(KeyTest, ResendGetsTheStoredResponse)
{
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    sendResponse(forward(), "booked");
    EXPECT_EQ(headerOf(response(first).headers, ReplayedHeader), "");
    expectReplay(post(key), "booked");
    EXPECT_EQ(runs(), 1U);
    EXPECT_EQ(counters_.value(model::Counter::KeyReplays), 1U);
    EXPECT_EQ(budget_.answered, 1);
}

TEST_F(KeyTest, SuffixesOfOneTokenAreDifferentKeys)
{
    const std::string token = tokenIssuer_->issue(Settlebox, now_);
    post(token + ".1");
    post(token + ".2");
    EXPECT_EQ(runs(), 2U);
}

TEST_F(KeyTest, ResendRacingTheOriginalWaitsForItsResponse)
{
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    const HttpHandle second = post(key);
    EXPECT_EQ(runs(), 1U);
    sendResponse(forward(), "booked");
    EXPECT_EQ(bodies_[first], "booked");
    expectReplay(second, "booked");
}

TEST_F(KeyTest, OtherFingerprintIsRefusedInEveryState)
{
    const std::string key = ownKey();
    post(key, "amount=1");
    expectRefusal(post(key, "amount=2"), Outcome::NotRun, Reason::KeyConflict, 422);
    sendResponse(forward());
    expectRefusal(post(key, "amount=2"), Outcome::NotRun, Reason::KeyConflict, 422);
    expectRefusal(call({.method = "POST", .path = "/other", .key = key, .body = "amount=1"}), Outcome::NotRun,
        Reason::KeyConflict, 422);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(KeyTest, NotRunMayRunAgainAndWaitersGetTheSameOutcome)
{
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    const HttpHandle second = post(key);
    completeForward(forward(), Outcome::NotRun, Reason::QueueTimeout);
    expectRefusal(first, Outcome::NotRun, Reason::QueueTimeout, 504);
    expectRefusal(second, Outcome::NotRun, Reason::QueueTimeout, 504);
    EXPECT_EQ(runs(), 1U);
    const HttpHandle third = post(key);
    sendResponse(forward(1), "booked");
    EXPECT_EQ(bodies_[third], "booked");
}

TEST_F(KeyTest, UnknownIsNeverRunAgain)
{
    const std::string key = ownKey();
    post(key);
    completeForward(forward(), Outcome::Unknown, Reason::TargetFailed);
    expectRefusal(post(key), Outcome::Unknown, Reason::KeyInUse, 409);
    advanceTime(9min);
    for (int count = 0; count < 3; ++count)
        advanceTime(10ms);
    expectRefusal(post(key), Outcome::Unknown, Reason::KeyInUse, 409);
    advanceTime(1min);
    expectRefusal(post(key), Outcome::Unknown, Reason::KeyExpired, 409);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(KeyTest, RunAfterNotRunIsRecordedUntilTheTokenExpires)
{
    const std::string key = ownKey();
    post(key);
    completeForward(forward(), Outcome::NotRun, Reason::QueueTimeout);
    post(key);
    sendResponse(forward(1));
    advanceTime(9min);
    advanceTime(10ms);
    expectReplay(post(key), "ok");
    EXPECT_EQ(runs(), 2U);
}

TEST_F(KeyTest, ExpiredKeyWithARecordIsStillAnswered)
{
    const std::string key = ownKey();
    advanceTime(10min - 1s);
    post(key);
    sendResponse(forward());
    advanceTime(2s);
    expectReplay(post(key), "ok");
    const std::string unused = ownKey();
    advanceTime(10min);
    expectRefusal(post(unused), Outcome::Unknown, Reason::KeyExpired, 409);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(KeyTest, ResponseTooLargeToStoreIsUnknownToAResend)
{
    build({.maxStoredResponseBytes = 100});
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    sendResponse(forward(), std::string(101, 'x'));
    EXPECT_EQ(bodies_[first].size(), 101U);
    expectRefusal(post(key), Outcome::Unknown, Reason::KeyInUse, 409);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(KeyTest, OldestResponsesAreEvictedButNeverRunAgain)
{
    build({.maxStoredTotalBytes = 250});
    std::vector<std::string> keys;
    for (size_t index = 0; index < 4; ++index) {
        keys.push_back(ownKey());
        post(keys.back());
        sendResponse(forward(index), std::string(100, 'x'));
    }
    expectRefusal(post(keys[0]), Outcome::Unknown, Reason::KeyInUse, 409);
    expectReplay(post(keys[3]), std::string(100, 'x'));
    EXPECT_EQ(runs(), 4U);
}

TEST_F(KeyTest, FullTableRefusesNewKeys)
{
    build({.maxKeys = 1});
    const std::string key = ownKey();
    post(key);
    sendResponse(forward());
    expectRefusal(post(ownKey()), Outcome::NotRun, Reason::NoRoom, 503);
    expectReplay(post(key), "ok");
}

TEST_F(KeyTest, RunContinuesForItsKeyWhenTheClientDisconnects)
{
    const std::string key = ownKey();
    handleHttp(HttpRequestAborted {.handle = post(key)});
    EXPECT_TRUE(sent<model::ForwardCancel>().empty());
    const HttpHandle second = post(key);
    sendResponse(forward(), "booked");
    expectReplay(second, "booked");
    EXPECT_EQ(runs(), 1U);
    EXPECT_EQ(records_.size(), 2U);
}

TEST_F(KeyTest, LongResponseToADisconnectedClientIsCutButItsRunIsRecorded)
{
    const std::string key = ownKey();
    handleHttp(HttpRequestAborted {.handle = post(key)});
    deliver(LocalOwner, model::ForwardResponseHead {.correlation = forward().correlation, .status = 200});
    for (uint64_t offset = 0; offset < 80 * 1024; offset += 40 * 1024)
        deliver(LocalOwner,
            model::ForwardBody {.correlation = forward().correlation,
                .direction = model::Direction::ToClient,
                .offset = offset,
                .bytes = std::string(40 * 1024, 'x')});
    EXPECT_EQ(sent<model::ForwardWindow>().size(), 1U);
    EXPECT_EQ(sent<model::ForwardCancel>().size(), 1U);
    EXPECT_EQ(creditStore_.inUse(), 0);
    expectRefusal(post(key), Outcome::Unknown, Reason::KeyInUse, 409);
}

TEST_F(KeyTest, DisconnectWithHalfABodyIsUnknownUntilTheOwnerReportsNotRun)
{
    const std::string key = ownKey();
    const uint64_t length = InitialBodyWindow + 10;
    const HttpHandle first {++lastHandle_};
    handleHttp(HttpRequestStarted {.handle = first,
        .method = "POST",
        .path = "/file",
        .headers = {{"Saltvane-Service", "settlebox"}, {"Idempotency-Key", key}},
        .bodyLength = length,
        .remoteAddress = "10.1.0.1"});
    handleHttp(HttpRequestBody {.handle = first, .bytes = std::string(InitialBodyWindow, 'b')});
    ASSERT_EQ(runs(), 1U);
    handleHttp(HttpRequestAborted {.handle = first});
    EXPECT_EQ(sent<model::ForwardCancel>().size(), 1U);
    const std::string body(InitialBodyWindow, 'b');
    const auto resend = [&] {
        const HttpHandle handle {++lastHandle_};
        handleHttp(HttpRequestStarted {.handle = handle,
            .method = "POST",
            .path = "/file",
            .headers = {{"Saltvane-Service", "settlebox"}, {"Idempotency-Key", key}},
            .bodyLength = length,
            .remoteAddress = "10.1.0.1"});
        handleHttp(HttpRequestBody {.handle = handle, .bytes = body});
        return handle;
    };
    expectRefusal(resend(), Outcome::Unknown, Reason::KeyInUse, 409);
    completeForward(forward(), Outcome::NotRun, Reason::ClientGone);
    resend();
    EXPECT_EQ(runs(), 2U);
}

TEST_F(KeyTest, DeadlineEndsAtOnceAndALateNotRunReopensTheKey)
{
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    const HttpHandle second = post(key);
    advanceTime(2s);
    expectRefusal(first, Outcome::Unknown, Reason::DeadlineExceeded, 504);
    expectRefusal(second, Outcome::Unknown, Reason::DeadlineExceeded, 504);
    completeForward(forward(), Outcome::NotRun, Reason::QueueTimeout);
    post(key);
    EXPECT_EQ(runs(), 2U);
    EXPECT_EQ(creditStore_.inUse(), 1);
}

TEST_F(KeyTest, WaiterIsPromotedWhenTheOriginalDisconnectsBeforeItsRun)
{
    creditStore_.owners[LocalOwner].free = 0;
    creditStore_.owners[RemoteOwner].free = 0;
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    const HttpHandle second = post(key);
    creditStore_.owners[LocalOwner].free = 1;
    handleHttp(HttpRequestAborted {.handle = first});
    ASSERT_EQ(runs(), 1U);
    sendResponse(forward(), "booked");
    EXPECT_EQ(bodies_[second], "booked");
}

TEST_F(KeyTest, WaitersHaveTheirOwnDeadlinesAndMayDisconnect)
{
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    const HttpHandle gone = post(key);
    const HttpHandle impatient = call({.method = "POST",
        .path = "/wire",
        .key = key,
        .body = "amount=1",
        .headers = {{"Saltvane-Deadline-Ms", "100"}}});
    handleHttp(HttpRequestAborted {.handle = gone});
    advanceTime(100ms);
    expectRefusal(impatient, Outcome::Unknown, Reason::DeadlineExceeded, 504);
    sendResponse(forward(), "booked");
    EXPECT_EQ(bodies_[first], "booked");
    EXPECT_FALSE(hasResponse(gone));
}

TEST_F(KeyTest, StoppingHostStillServesItsKeys)
{
    const std::string key = ownKey();
    const std::string fresh = ownKey();
    post(key);
    entry_->startStopping(now_);
    const HttpHandle second = post(key);
    expectRefusal(post(fresh), Outcome::NotRun, Reason::Stopping, 503);
    sendResponse(forward(), "booked");
    expectReplay(second, "booked");
    expectReplay(post(key), "booked");
}

TEST_F(KeyTest, NotReadyHostReportsUnknownForKeysItCannotKnow)
{
    const std::string key = ownKey();
    post(key);
    sendResponse(forward());
    entry_->setReady(false);
    expectReplay(post(key), "ok");
    expectRefusal(post(ownKey()), Outcome::NotRun, Reason::NotReady, 503);
    expectRefusal(post(foreignKey()), Outcome::Unknown, Reason::NotReady, 502);
    expectRefusal(post("order-17"), Outcome::Unknown, Reason::NotReady, 502);
}

TEST_F(KeyTest, ForgedTokenIsRefused)
{
    std::string key = ownKey();
    key[40] = key[40] == 'A' ? 'B' : 'A';
    expectRefusal(post(key), Outcome::NotRun, Reason::BadRequest, 400);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(KeyTest, ChunkedBodyHasTheFingerprintOfItsBytes)
{
    const std::string key = ownKey();
    post(key, "amount=1");
    const HttpHandle second {++lastHandle_};
    handleHttp(HttpRequestStarted {.handle = second,
        .method = "POST",
        .path = "/wire",
        .headers = {{"Saltvane-Service", "settlebox"}, {"Idempotency-Key", key}},
        .remoteAddress = "10.1.0.1"});
    handleHttp(HttpRequestBody {.handle = second, .bytes = "amount"});
    handleHttp(HttpRequestBody {.handle = second, .bytes = "=1"});
    handleHttp(HttpRequestBody {.handle = second, .bytes = {}, .isLast = true});
    sendResponse(forward(), "booked");
    expectReplay(second, "booked");
}

} // namespace
} // namespace saltvane::requests
