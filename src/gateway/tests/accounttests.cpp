/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

#include <algorithm>

namespace saltvane::gateway::test {

namespace {

const std::string Accounts = R"([
    {"name":"acme","keys":["key-a1","key-a2"],"rank":1,"permitted_regions":[]},
    {"name":"north-only","keys":["key-n"],"permitted_regions":["north"]},
    {"name":"limited","keys":["key-l"],"rate_per_s":10,"burst":5}])";
const std::string PublicRoute = R"(,{"name":"open","host":"prices.example","path_prefix":"/open/","kind":"repeatable",
    "timeout_ms":1500,"service":"quotes","attempts":2,"public":true})";

model::Header keyHeader(const std::string& key) { return {.name = "Saltvane-Client-Key", .value = key}; }

} // namespace

class AccountTest : public GatewayFixture {
protected:
    AccountTest()
    {
        installPlan(1, PublicRoute, Accounts);
        reportTargets({target("t-1"), target("t-2", "quotes", "south-a")});
    }

    requests::HttpHandle sendWithKey(const std::string& key, const std::string& path = "/read/1")
    {
        CallerRequest caller {.path = path};
        if (!key.empty())
            caller.extraHeaders = {keyHeader(key)};
        return request(caller);
    }
    void grantCredit(const model::LimitCreditAsk& request)
    {
        deliver(model::LimitCreditReply {.answers = {{.ask = request.ask, .credits = request.credits}}});
    }
    int status()
    {
        const auto response = takeResponse();
        return response ? response->status : 0;
    }
};

TEST_F(AccountTest, TargetReceivesAccountButNotKey)
{
    CallerRequest caller;
    caller.extraHeaders = {keyHeader("key-a2"), {.name = "Saltvane-Client-Account", .value = "somebody-else"}};
    request(caller);
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Client-Key"), "");
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Client-Account"), "acme");
    EXPECT_EQ(std::ranges::count_if(starts[0].headers,
                  [](const model::Header& field) { return field.name == "Saltvane-Client-Account"; }),
        1);
}

TEST_F(AccountTest, UnknownKeyIsRejectedWithoutRetry)
{
    answerPull();
    for (const std::string& key :
        {std::string(), std::string("key-a"), std::string("key-a11"), std::string(60'000, 'k')}) {
        sendWithKey(key);
        EXPECT_EQ(status(), 401) << key.substr(0, 10);
    }
    EXPECT_TRUE(takeStarts().empty());
}

TEST_F(AccountTest, TwoKeysAreRejected)
{
    answerPull();
    CallerRequest caller;
    caller.extraHeaders = {keyHeader("key-a1"), keyHeader("key-a2")};
    request(caller);
    EXPECT_EQ(status(), 401);
}

TEST_F(AccountTest, PublicRouteNeedsNoKeyAndForwardsNoAccount)
{
    CallerRequest caller {.path = "/open/1"};
    caller.extraHeaders = {keyHeader("key-a1"), {.name = "Saltvane-Client-Account", .value = "acme"}};
    request(caller);
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Client-Key"), "");
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Client-Account"), "");
}

/// Callers treat 401 as final, so a key that exists only in a newer plan must not get it.
TEST_F(AccountTest, UnknownKeyIsRetryableWhileNewerPlanIsFetched)
{
    startFetchingPlan(2);
    sendWithKey("key-new");
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_NE(header(response->headers, "Retry-After"), "");
}

TEST_F(AccountTest, KeyMovedToAnotherAccountTakesEffectAtOnce)
{
    installPlan(2, PublicRoute, R"([{"name":"other","keys":["key-a1"]},{"name":"acme","keys":["key-a2"]}])");
    sendWithKey("key-a1");
    auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Client-Account"), "other");
    installPlan(3, PublicRoute, R"([{"name":"acme","keys":[]}])");
    answerPull();
    sendWithKey("key-a2");
    EXPECT_EQ(status(), 401);
    EXPECT_TRUE(takeStarts().empty());
}

TEST_F(AccountTest, RequestsStayInPermittedRegions)
{
    for (int i = 0; i < 20; ++i) {
        CallerRequest caller {.id = "try-" + std::to_string(i), .object = std::to_string(i)};
        caller.extraHeaders = {keyHeader("key-n")};
        request(caller);
        for (const requests::TargetStart& start : takeStarts()) {
            EXPECT_EQ(header(start.headers, "Saltvane-Expect-Target"), "t-1");
            answer(start, {.id = caller.id});
        }
        (void)takeResponse();
    }
}

TEST_F(AccountTest, LimitedAccountWaitsForCredit)
{
    sendWithKey("key-l");
    EXPECT_TRUE(takeStarts().empty());
    const auto creditRequests = takeCreditRequests();
    ASSERT_EQ(creditRequests.size(), 1U);
    EXPECT_EQ(creditRequests[0].limit, model::limitIdOf(model::ClientAccountName("limited")));
    grantCredit(creditRequests[0]);
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against registry hosts that don't receive plans and can't tell that a limit was changed.
TEST_F(AccountTest, CreditRequestsNameTheLimitOfThePlanInForce)
{
    sendWithKey("key-l");
    const auto former = takeAccountLimits();
    ASSERT_EQ(former.size(), 1U);
    EXPECT_EQ(former[0].limit, model::limitIdOf(model::ClientAccountName("limited")));
    EXPECT_EQ(former[0].rate, (model::RateLimit {.perSecond = 10, .burst = 5}));
    installPlan(2, PublicRoute, R"([{"name":"limited","keys":["key-l"],"rate_per_s":3,"burst":2}])");
    sendWithKey("key-l");
    const auto latest = takeAccountLimits();
    ASSERT_EQ(latest.size(), 1U);
    EXPECT_EQ(latest[0].rate, (model::RateLimit {.perSecond = 3, .burst = 2}));
    EXPECT_GT(latest[0].plan, former[0].plan);
}

TEST_F(AccountTest, RequestOverLimitIsRefusedWithRetryAfter)
{
    sendWithKey("key-l");
    const auto creditRequests = takeCreditRequests();
    ASSERT_EQ(creditRequests.size(), 1U);
    deliver(model::LimitCreditReply {.answers = {{.ask = creditRequests[0].ask, .retryAfter = 700ms}}});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 429);
    EXPECT_EQ(header(response->headers, "Retry-After"), "0.700");
    EXPECT_TRUE(takeStarts().empty());
}

TEST_F(AccountTest, CreditOfRequestThatWasNotRunIsReused)
{
    sendWithKey("key-l");
    const auto creditRequests = takeCreditRequests();
    ASSERT_EQ(creditRequests.size(), 1U);
    grantCredit(creditRequests[0]);
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    // Each target refuses the request: it is retried with the same credit, which is returned in the end.
    answer(starts[0], {.status = 503, .extraHeaders = {{.name = "Saltvane-Not-Run", .value = "1"}}});
    EXPECT_TRUE(takeCreditRequests().empty());
    for (const requests::TargetStart& start : takeStarts())
        answer(start, {.status = 503, .extraHeaders = {{.name = "Saltvane-Not-Run", .value = "1"}}});
    ASSERT_EQ(status(), 503);
    advance(1s); // By now the targets are used again, but the credit has expired.
    sendWithKey("key-l");
    EXPECT_EQ(takeCreditRequests().size(), 1U);
}

TEST_F(AccountTest, RetryOfPossiblyRunRequestNeedsAnotherCredit)
{
    sendWithKey("key-l");
    auto creditRequests = takeCreditRequests();
    ASSERT_EQ(creditRequests.size(), 1U);
    grantCredit(creditRequests[0]);
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    fail(starts[0], true);
    EXPECT_TRUE(takeStarts().empty());
    creditRequests = takeCreditRequests();
    ASSERT_EQ(creditRequests.size(), 1U);
    grantCredit(creditRequests[0]);
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(AccountTest, RequestIsRetryableIfNoRegistryHostAnswers)
{
    sendWithKey("key-l");
    advance(1s);
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "limit-unknown");
}

/// Guards against requests waiting for credits although no registry host answers.
TEST_F(AccountTest, OnlyProbesWaitWhileRegistryIsUnresponsive)
{
    sendWithKey("key-l");
    advance(1s);
    ASSERT_EQ(status(), 503);
    (void)takeCreditRequests();
    constexpr int Requests = 20;
    int refusedAtOnce = 0;
    for (int i = 0; i < Requests; ++i)
        refusedAtOnce += sendWithKey("key-l").value != 0 && status() == 503 ? 1 : 0;
    EXPECT_EQ(refusedAtOnce, Requests - 1);
    const auto creditRequests = takeCreditRequests();
    ASSERT_EQ(creditRequests.size(), 1U);
    grantCredit(creditRequests[0]);
    EXPECT_EQ(takeStarts().size(), 1U);
    sendWithKey("key-l");
    EXPECT_EQ(takeCreditRequests().size(), 1U);
}

TEST_F(AccountTest, AbortedRequestIsNotSentWhenCreditArrives)
{
    abort(sendWithKey("key-l"));
    const auto creditRequests = takeCreditRequests();
    ASSERT_EQ(creditRequests.size(), 1U);
    grantCredit(creditRequests[0]);
    EXPECT_TRUE(takeStarts().empty());
    // Its credit is used for the next request.
    sendWithKey("key-l");
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(AccountTest, LogLinesContainNoKeys)
{
    answerPull();
    for (const char* key : {"key-a1", "key-l", "secret-unknown"})
        sendWithKey(key);
    for (const requests::TargetStart& start : takeStarts())
        fail(start, true);
    advance(2s);
    for (const std::vector<std::string>& lines : {takeDecisions(), drainLogLines()}) {
        for (const std::string& line : lines) {
            EXPECT_EQ(line.find("key-a1"), std::string::npos) << line;
            EXPECT_EQ(line.find("key-l"), std::string::npos) << line;
            EXPECT_EQ(line.find("secret-unknown"), std::string::npos) << line;
        }
    }
}

} // namespace saltvane::gateway::test
