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

/// Keys of this host's own tokens.
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

TEST_F(KeyTest, ResendGetsTheStoredAnswer)
{
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    answer(forward(), "booked");
    EXPECT_EQ(headerOf(response(first).headers, ReplayedHeader), "");
    expectReplay(post(key), "booked");
    EXPECT_EQ(runs(), 1U);
    EXPECT_EQ(counters_.value(model::Counter::KeyReplays), 1U);
    EXPECT_EQ(budget_.answered, 1);
}

TEST_F(KeyTest, SuffixesOfOneTokenAreDifferentKeys)
{
    const std::string token = minter_->mint(Settlebox, now_);
    post(token + ".1");
    post(token + ".2");
    EXPECT_EQ(runs(), 2U);
}

TEST_F(KeyTest, ResendRacingTheOriginalWaitsForItsAnswer)
{
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    const HttpHandle second = post(key);
    EXPECT_EQ(runs(), 1U);
    answer(forward(), "booked");
    EXPECT_EQ(bodies_[first], "booked");
    expectReplay(second, "booked");
}

TEST_F(KeyTest, OtherFingerprintIsRefusedInEveryState)
{
    const std::string key = ownKey();
    post(key, "amount=1");
    expectRefusal(post(key, "amount=2"), Outcome::NotRun, Reason::KeyConflict, 422);
    answer(forward());
    expectRefusal(post(key, "amount=2"), Outcome::NotRun, Reason::KeyConflict, 422);
    expectRefusal(call({.method = "POST", .path = "/other", .key = key, .body = "amount=1"}), Outcome::NotRun,
        Reason::KeyConflict, 422);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(KeyTest, NotRunMayRunAgainAndWaitersAreToldTheSame)
{
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    const HttpHandle second = post(key);
    end(forward(), Outcome::NotRun, Reason::QueueTimeout);
    expectRefusal(first, Outcome::NotRun, Reason::QueueTimeout, 504);
    expectRefusal(second, Outcome::NotRun, Reason::QueueTimeout, 504);
    EXPECT_EQ(runs(), 1U);
    const HttpHandle third = post(key);
    answer(forward(1), "booked");
    EXPECT_EQ(bodies_[third], "booked");
}

TEST_F(KeyTest, UnknownIsNeverRunAgain)
{
    const std::string key = ownKey();
    post(key);
    end(forward(), Outcome::Unknown, Reason::TargetFailed);
    expectRefusal(post(key), Outcome::Unknown, Reason::KeyInUse, 409);
    pass(9min);
    for (int count = 0; count < 3; ++count)
        pass(10ms);
    expectRefusal(post(key), Outcome::Unknown, Reason::KeyInUse, 409);
    pass(1min);
    expectRefusal(post(key), Outcome::Unknown, Reason::KeyExpired, 409);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(KeyTest, RunAfterNotRunIsRememberedUntilTheTokenExpires)
{
    const std::string key = ownKey();
    post(key);
    end(forward(), Outcome::NotRun, Reason::QueueTimeout);
    post(key);
    answer(forward(1));
    pass(9min);
    pass(10ms);
    expectReplay(post(key), "ok");
    EXPECT_EQ(runs(), 2U);
}

TEST_F(KeyTest, ExpiredKeyWithARecordIsStillAnswered)
{
    const std::string key = ownKey();
    pass(10min - 1s);
    post(key);
    answer(forward());
    pass(2s);
    expectReplay(post(key), "ok");
    const std::string unused = ownKey();
    pass(10min);
    expectRefusal(post(unused), Outcome::Unknown, Reason::KeyExpired, 409);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(KeyTest, AnswerTooLargeToKeepIsUnknownToAResend)
{
    build({.largestStoredAnswer = 100});
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    answer(forward(), std::string(101, 'x'));
    EXPECT_EQ(bodies_[first].size(), 101U);
    expectRefusal(post(key), Outcome::Unknown, Reason::KeyInUse, 409);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(KeyTest, OldestAnswersAreLetGoButNeverRunAgain)
{
    build({.largestStoredTotal = 250});
    std::vector<std::string> keys;
    for (size_t index = 0; index < 4; ++index) {
        keys.push_back(ownKey());
        post(keys.back());
        answer(forward(index), std::string(100, 'x'));
    }
    expectRefusal(post(keys[0]), Outcome::Unknown, Reason::KeyInUse, 409);
    expectReplay(post(keys[3]), std::string(100, 'x'));
    EXPECT_EQ(runs(), 4U);
}

TEST_F(KeyTest, FullTableRefusesRatherThanForgets)
{
    build({.largestKeys = 1});
    const std::string key = ownKey();
    post(key);
    answer(forward());
    expectRefusal(post(ownKey()), Outcome::NotRun, Reason::NoRoom, 503);
    expectReplay(post(key), "ok");
}

TEST_F(KeyTest, RunGoesOnForItsKeyWhenTheClientIsGone)
{
    const std::string key = ownKey();
    http(HttpRequestAborted {.handle = post(key)});
    EXPECT_TRUE(sent<model::ForwardCancel>().empty());
    const HttpHandle second = post(key);
    answer(forward(), "booked");
    expectReplay(second, "booked");
    EXPECT_EQ(runs(), 1U);
    EXPECT_EQ(records_.size(), 2U);
}

TEST_F(KeyTest, GoneClientsLongAnswerIsCutButItsRunIsKnown)
{
    const std::string key = ownKey();
    http(HttpRequestAborted {.handle = post(key)});
    deliver(NearOwner, model::ForwardResponseHead {.correlation = forward().correlation, .status = 200});
    for (uint64_t offset = 0; offset < 80 * 1024; offset += 40 * 1024)
        deliver(NearOwner,
            model::ForwardBody {.correlation = forward().correlation,
                .direction = model::Direction::ToClient,
                .offset = offset,
                .bytes = std::string(40 * 1024, 'x')});
    EXPECT_EQ(sent<model::ForwardWindow>().size(), 1U);
    EXPECT_EQ(sent<model::ForwardCancel>().size(), 1U);
    EXPECT_EQ(wallet_.taken(), 0);
    expectRefusal(post(key), Outcome::Unknown, Reason::KeyInUse, 409);
}

TEST_F(KeyTest, ClientGoneWithHalfABodyIsUnknownUntilTheOwnerSaysNotRun)
{
    const std::string key = ownKey();
    const uint64_t length = InitialBodyWindow + 10;
    const HttpHandle first {++lastHandle_};
    http(HttpRequestStarted {.handle = first,
        .method = "POST",
        .path = "/file",
        .headers = {{"Saltvane-Service", "settlebox"}, {"Idempotency-Key", key}},
        .bodyLength = length,
        .remoteAddress = "10.1.0.1"});
    http(HttpRequestBody {.handle = first, .bytes = std::string(InitialBodyWindow, 'b')});
    ASSERT_EQ(runs(), 1U);
    http(HttpRequestAborted {.handle = first});
    EXPECT_EQ(sent<model::ForwardCancel>().size(), 1U);
    const std::string body(InitialBodyWindow, 'b');
    const auto resend = [&] {
        const HttpHandle handle {++lastHandle_};
        http(HttpRequestStarted {.handle = handle,
            .method = "POST",
            .path = "/file",
            .headers = {{"Saltvane-Service", "settlebox"}, {"Idempotency-Key", key}},
            .bodyLength = length,
            .remoteAddress = "10.1.0.1"});
        http(HttpRequestBody {.handle = handle, .bytes = body});
        return handle;
    };
    expectRefusal(resend(), Outcome::Unknown, Reason::KeyInUse, 409);
    end(forward(), Outcome::NotRun, Reason::ClientGone);
    resend();
    EXPECT_EQ(runs(), 2U);
}

TEST_F(KeyTest, DeadlineAnswersAtOnceAndALateNotRunOpensTheKey)
{
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    const HttpHandle second = post(key);
    pass(2s);
    expectRefusal(first, Outcome::Unknown, Reason::DeadlineExceeded, 504);
    expectRefusal(second, Outcome::Unknown, Reason::DeadlineExceeded, 504);
    end(forward(), Outcome::NotRun, Reason::QueueTimeout);
    post(key);
    EXPECT_EQ(runs(), 2U);
    EXPECT_EQ(wallet_.taken(), 1);
}

TEST_F(KeyTest, WaiterIsPromotedWhenTheOriginalLeavesBeforeItsRun)
{
    wallet_.owners[NearOwner].free = 0;
    wallet_.owners[FarOwner].free = 0;
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    const HttpHandle second = post(key);
    wallet_.owners[NearOwner].free = 1;
    http(HttpRequestAborted {.handle = first});
    ASSERT_EQ(runs(), 1U);
    answer(forward(), "booked");
    EXPECT_EQ(bodies_[second], "booked");
}

TEST_F(KeyTest, WaitersHaveTheirOwnDeadlinesAndMayLeave)
{
    const std::string key = ownKey();
    const HttpHandle first = post(key);
    const HttpHandle gone = post(key);
    const HttpHandle hasty = call({.method = "POST",
        .path = "/wire",
        .key = key,
        .body = "amount=1",
        .headers = {{"Saltvane-Deadline-Ms", "100"}}});
    http(HttpRequestAborted {.handle = gone});
    pass(100ms);
    expectRefusal(hasty, Outcome::Unknown, Reason::DeadlineExceeded, 504);
    answer(forward(), "booked");
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
    answer(forward(), "booked");
    expectReplay(second, "booked");
    expectReplay(post(key), "booked");
}

TEST_F(KeyTest, NotReadyHostClaimsNothingOfKeysItCannotKnow)
{
    const std::string key = ownKey();
    post(key);
    answer(forward());
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
    http(HttpRequestStarted {.handle = second,
        .method = "POST",
        .path = "/wire",
        .headers = {{"Saltvane-Service", "settlebox"}, {"Idempotency-Key", key}},
        .remoteAddress = "10.1.0.1"});
    http(HttpRequestBody {.handle = second, .bytes = "amount"});
    http(HttpRequestBody {.handle = second, .bytes = "=1"});
    http(HttpRequestBody {.handle = second, .bytes = {}, .isLast = true});
    answer(forward(), "booked");
    expectReplay(second, "booked");
}

} // namespace
} // namespace saltvane::requests
