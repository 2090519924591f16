/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/headerfilter.h"
#include "requests/internal/responsestream.h"
#include "requests/tests/entryfixture.h"

namespace saltvane::requests {
namespace {

using model::Outcome;
using model::Reason;

class RequestReceiverTest : public EntryFixture { };

TEST_F(RequestReceiverTest, RemovesHopByHopAndInternalHeaders)
{
    call({.headers = {{"Connection", "close, X-Drop"}, {"x-drop", "1"}, {"TE", "trailers"}, {"Expect", "100-continue"},
              {"saltvane-request-id", "forged"}, {"Saltvane-Shed", "1"}, {"X-Keep", "yes"}}});
    const auto forwards = sent<model::ForwardRequest>();
    ASSERT_EQ(forwards.size(), 1U);
    const auto& headers = forwards[0].headers;
    EXPECT_EQ(headerOf(headers, "X-Keep"), "yes");
    EXPECT_EQ(fieldValues(headers, "Saltvane-Request-Id").size(), 1U);
    EXPECT_EQ(headerOf(headers, "Saltvane-Request-Id"), forwards[0].request.value());
    for (const char* name : {"Connection", "X-Drop", "TE", "Expect", "Saltvane-Shed", "Content-Length"})
        EXPECT_EQ(headerOf(headers, name), "") << name;
}

TEST_F(RequestReceiverTest, ResponseCarriesOutcomeAndRequestId)
{
    const HttpHandle handle = call({});
    const auto forward = sent<model::ForwardRequest>().at(0);
    deliver(LocalOwner,
        model::ForwardResponseHead {.correlation = forward.correlation,
            .status = 404,
            .headers = {{"Saltvane-Outcome", "forged"}, {"Keep-Alive", "5"}, {"ETag", "x"}},
            .bodyLength = 0});
    completeForward(forward, Outcome::Answered, Reason::None);
    const HttpRespond& respond = response(handle);
    EXPECT_EQ(respond.status, 404);
    ASSERT_EQ(fieldValues(respond.headers, OutcomeHeader).size(), 1U);
    EXPECT_EQ(headerOf(respond.headers, OutcomeHeader), "answered");
    EXPECT_EQ(headerOf(respond.headers, RequestIdHeader), forward.request.value());
    EXPECT_EQ(headerOf(respond.headers, "ETag"), "x");
    EXPECT_EQ(headerOf(respond.headers, "Keep-Alive"), "");
    EXPECT_EQ(creditStore_.inUse(), 0);
    ASSERT_EQ(records_.size(), 1U);
    EXPECT_EQ(records_[0].outcome, Outcome::Answered);
    EXPECT_EQ(records_[0].status, 404);
}

TEST_F(RequestReceiverTest, RefusesMalformedHeadersNamingTheField)
{
    for (const char* text : {"", "0", "-1", "1.5", "60001", "9999999999999999999", "10ms"}) {
        const HttpHandle handle = call({.headers = {{"Saltvane-Deadline-Ms", text}}});
        expectRefusal(handle, Outcome::NotRun, Reason::BadRequest, 400);
        EXPECT_NE(bodies_[handle].find("Saltvane-Deadline-Ms"), std::string::npos) << bodies_[handle];
        EXPECT_EQ(headerOf(response(handle).headers, "Retry-After"), "");
    }
    for (const std::string& key : {std::string(256, 'k'), std::string("a b"), std::string("a\x7f")})
        expectRefusal(post(key), Outcome::NotRun, Reason::BadRequest, 400);
    expectRefusal(call({.method = "POST", .key = "a", .headers = {{"Idempotency-Key", "b"}}}), Outcome::NotRun,
        Reason::BadRequest, 400);
    EXPECT_TRUE(sent<model::ForwardRequest>().empty());
    EXPECT_TRUE(sent<model::ClaimRequest>().empty());
}

TEST_F(RequestReceiverTest, FindsTheServiceByHost)
{
    const auto start = [this](const std::string& host) {
        handleHttp(HttpRequestStarted {.handle = {++lastHandle_},
            .method = "GET",
            .path = "/nav",
            .headers = {{"Host", host}},
            .bodyLength = 0,
            .remoteAddress = "10.2.0.1"});
        return HttpHandle {lastHandle_};
    };
    start("settlebox:8080");
    start("settlebox.valoria.example");
    EXPECT_EQ(sent<model::ForwardRequest>().size(), 2U);
    EXPECT_EQ(sent<model::ForwardRequest>().at(0).clientRegion, RegionName("gye"));
    expectRefusal(start("valoria.settlebox"), Outcome::NotRun, Reason::UnknownService, 404);
}

TEST_F(RequestReceiverTest, RefusesNonRepeatableWithoutKey)
{
    expectRefusal(call({.method = "POST"}), Outcome::NotRun, Reason::MissingKey, 400);
}

TEST_F(RequestReceiverTest, DeadlineIsForwardedAndEndsTheRequest)
{
    const HttpHandle handle = call({.headers = {{"Saltvane-Deadline-Ms", "300"}}});
    const auto forward = sent<model::ForwardRequest>().at(0);
    // The owner's deadline is earlier, so that its report arrives in time.
    EXPECT_EQ(forward.deadline, 280ms);
    EXPECT_EQ(headerOf(forward.headers, "Saltvane-Deadline-Ms"), "280");
    advanceTime(299ms);
    EXPECT_FALSE(hasResponse(handle));
    advanceTime(1ms);
    expectRefusal(handle, Outcome::Unknown, Reason::DeadlineExceeded, 504);
    EXPECT_EQ(sent<model::ForwardCancel>().size(), 1U);
    EXPECT_EQ(creditStore_.inUse(), 0);
    sendResponse(forward);
    EXPECT_EQ(counters_.value(model::Counter::LateFrames),
        2U); // The end frame belongs to a cancelled attempt and isn't counted.
}

TEST_F(RequestReceiverTest, WaitsForCreditThenRefusesWithRoundedRetryAfter)
{
    for (auto& [host, credit] : creditStore_.owners)
        credit.free = 0;
    const HttpHandle handle = call({});
    EXPECT_EQ(creditStore_.requested, 2);
    advanceTime(40ms);
    EXPECT_FALSE(hasResponse(handle));
    advanceTime(10ms);
    expectRefusal(handle, Outcome::NotRun, Reason::NoRoom, 503);
    EXPECT_EQ(headerOf(response(handle).headers, "Retry-After"), "2");
    EXPECT_EQ(counters_.refusal(Reason::NoRoom), 1U);
}

TEST_F(RequestReceiverTest, ReturnedCreditServesWaitingRequestsAtOnce)
{
    creditStore_.owners[LocalOwner].free = 1;
    creditStore_.owners[RemoteOwner].free = 0;
    call({});
    const HttpHandle second = call({});
    ASSERT_EQ(sent<model::ForwardRequest>().size(), 1U);
    sendResponse(sent<model::ForwardRequest>()[0]);
    ASSERT_EQ(sent<model::ForwardRequest>().size(), 2U);
    sendResponse(sent<model::ForwardRequest>()[1], "second");
    EXPECT_EQ(bodies_[second], "second");
    EXPECT_EQ(creditStore_.inUse(), 0);
}

TEST_F(RequestReceiverTest, DeadlineBeforeForwardingIsNotRun)
{
    for (auto& [host, credit] : creditStore_.owners)
        credit.free = 0;
    const HttpHandle handle = call({.headers = {{"Saltvane-Deadline-Ms", "20"}}});
    advanceTime(20ms);
    expectRefusal(handle, Outcome::NotRun, Reason::DeadlineExceeded, 504);
}

TEST_F(RequestReceiverTest, ZoneClosedIsRefusedAtOnce)
{
    steering_.refusal = steering::Refusal {.reason = Reason::ZoneClosed};
    expectRefusal(call({}), Outcome::NotRun, Reason::ZoneClosed, 503);
}

TEST_F(RequestReceiverTest, NotReadyAndStoppingRefuseButFinishWhatIsInFlight)
{
    const HttpHandle early = call({});
    entry_->startStopping(now_);
    const HttpHandle late = call({});
    expectRefusal(late, Outcome::NotRun, Reason::Stopping, 503);
    EXPECT_EQ(headerOf(response(late).headers, "Retry-After"), "1");
    EXPECT_EQ(entry_->inFlight(), 2U);
    sendResponse(sent<model::ForwardRequest>().at(0), "whole");
    EXPECT_EQ(bodies_[early], "whole");
    handleHttp(HttpResponseDone {.handle = early});
    handleHttp(HttpResponseDone {.handle = late});
    EXPECT_EQ(entry_->inFlight(), 0U);
    build({});
    entry_->setReady(false);
    expectRefusal(call({}), Outcome::NotRun, Reason::NotReady, 503);
}

// Guards against requests that stay in flight after their response was sent: the host then waits for them until the
// time limit of its stop.
TEST_F(RequestReceiverTest, ResponseSentBeforeTheOwnersEndFrameIsNotInFlightAfterIt)
{
    const std::string body(MaxBufferedResponseBytes + 1, 'x');
    const HttpHandle handle = call({});
    const auto forward = sent<model::ForwardRequest>().at(0);
    deliver(LocalOwner,
        model::ForwardResponseHead {.correlation = forward.correlation, .status = 200, .bodyLength = body.size()});
    deliver(LocalOwner,
        model::ForwardBody {.correlation = forward.correlation,
            .direction = model::Direction::ToClient,
            .bytes = body,
            .isLast = true});
    handleHttp(HttpResponseDone {.handle = handle});
    completeForward(forward, Outcome::Answered, Reason::None);
    EXPECT_EQ(entry_->inFlight(), 0U);
    EXPECT_EQ(creditStore_.inUse(), 0);
    ASSERT_EQ(records_.size(), 1U);
    EXPECT_EQ(records_[0].outcome, Outcome::Answered);
}

TEST_F(RequestReceiverTest, TooManyInFlightAreRefused)
{
    build({.maxInFlight = 1});
    call({});
    expectRefusal(call({}), Outcome::NotRun, Reason::NoRoom, 503);
}

TEST_F(RequestReceiverTest, TerminateAllEndsEachRequestOnce)
{
    const HttpHandle forwarded = call({});
    for (auto& [host, credit] : creditStore_.owners)
        credit.free = 0;
    const HttpHandle waiting = call({});
    EXPECT_EQ(entry_->terminateAll(now_), 2U);
    collect();
    expectRefusal(forwarded, Outcome::Unknown, Reason::StopTimeLimit, 502);
    expectRefusal(waiting, Outcome::NotRun, Reason::StopTimeLimit, 503);
    EXPECT_EQ(creditStore_.inUse(), 0);
}

TEST_F(RequestReceiverTest, DisconnectCancelsAndCausesNoAction)
{
    const HttpHandle handle = call({});
    handleHttp(HttpRequestAborted {.handle = handle});
    EXPECT_EQ(sent<model::ForwardCancel>().size(), 1U);
    EXPECT_FALSE(hasResponse(handle));
    EXPECT_EQ(creditStore_.inUse(), 0);
    EXPECT_EQ(entry_->inFlight(), 0U);
    ASSERT_EQ(records_.size(), 1U);
    EXPECT_EQ(records_[0].reason, Reason::ClientGone);
}

} // namespace
} // namespace saltvane::requests
