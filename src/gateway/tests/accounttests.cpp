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

    requests::HttpHandle ask(const std::string& key, const std::string& path = "/read/1")
    {
        CallerRequest caller {.path = path};
        if (!key.empty())
            caller.more = {keyHeader(key)};
        return request(caller);
    }
    void giveCredit(const model::LimitCreditAsk& ask)
    {
        deliver(model::LimitCreditReply {.answers = {{.ask = ask.ask, .credits = ask.credits}}});
    }
    int status()
    {
        const auto response = takeResponse();
        return response ? response->status : 0;
    }
};

TEST_F(AccountTest, TheTargetIsToldTheAccountAndNeverTheKey)
{
    CallerRequest caller;
    caller.more = {keyHeader("key-a2"), {.name = "Saltvane-Client-Account", .value = "somebody-else"}};
    request(caller);
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Client-Key"), "");
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Client-Account"), "acme");
    EXPECT_EQ(std::ranges::count_if(
                  starts[0].headers, [](const model::Header& one) { return one.name == "Saltvane-Client-Account"; }),
        1);
}

TEST_F(AccountTest, WithoutAKnownKeyARequestIsRefusedForGood)
{
    answerPull();
    for (const std::string& key :
        {std::string(), std::string("key-a"), std::string("key-a11"), std::string(60'000, 'k')}) {
        ask(key);
        EXPECT_EQ(status(), 401) << key.substr(0, 10);
    }
    EXPECT_TRUE(takeStarts().empty());
}

TEST_F(AccountTest, TwoKeysAreNone)
{
    answerPull();
    CallerRequest caller;
    caller.more = {keyHeader("key-a1"), keyHeader("key-a2")};
    request(caller);
    EXPECT_EQ(status(), 401);
}

TEST_F(AccountTest, APublicRouteAsksForNoKeyAndTellsNoAccount)
{
    CallerRequest caller {.path = "/open/1"};
    caller.more = {keyHeader("key-a1"), {.name = "Saltvane-Client-Account", .value = "acme"}};
    request(caller);
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Client-Key"), "");
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Client-Account"), "");
}

/// Callers take 401 for final: a key that only a newer plan knows must not get it.
TEST_F(AccountTest, WhileANewerPlanIsOnItsWayAnUnknownKeyMayComeBack)
{
    startFetchingPlan(2);
    ask("key-new");
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_NE(header(response->headers, "Retry-After"), "");
}

TEST_F(AccountTest, AKeyThatPassesToAnotherAccountIsThatAccountsAtOnce)
{
    installPlan(2, PublicRoute, R"([{"name":"other","keys":["key-a1"]},{"name":"acme","keys":["key-a2"]}])");
    ask("key-a1");
    auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(header(starts[0].headers, "Saltvane-Client-Account"), "other");
    installPlan(3, PublicRoute, R"([{"name":"acme","keys":[]}])");
    answerPull();
    ask("key-a2");
    EXPECT_EQ(status(), 401);
    EXPECT_TRUE(takeStarts().empty());
}

TEST_F(AccountTest, RunsOnlyWhereTheAccountIsPermitted)
{
    for (int i = 0; i < 20; ++i) {
        CallerRequest caller {.id = "try-" + std::to_string(i), .object = std::to_string(i)};
        caller.more = {keyHeader("key-n")};
        request(caller);
        for (const requests::TargetStart& start : takeStarts()) {
            EXPECT_EQ(header(start.headers, "Saltvane-Expect-Target"), "t-1");
            answer(start, {.id = caller.id});
        }
        (void)takeResponse();
    }
}

TEST_F(AccountTest, ARequestOfALimitedAccountWaitsForItsCredit)
{
    ask("key-l");
    EXPECT_TRUE(takeStarts().empty());
    const auto asks = takeCreditAsks();
    ASSERT_EQ(asks.size(), 1U);
    EXPECT_EQ(asks[0].limit, model::limitIdOf(model::ClientAccountName("limited")));
    giveCredit(asks[0]);
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(AccountTest, OverTheLimitItIsRefusedWithTheTimeToReturn)
{
    ask("key-l");
    const auto asks = takeCreditAsks();
    ASSERT_EQ(asks.size(), 1U);
    deliver(model::LimitCreditReply {.answers = {{.ask = asks[0].ask, .retryAfter = 700ms}}});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 429);
    EXPECT_EQ(header(response->headers, "Retry-After"), "0.700");
    EXPECT_TRUE(takeStarts().empty());
}

TEST_F(AccountTest, TheCreditOfARequestThatDidNotRunServesTheNextOne)
{
    ask("key-l");
    const auto asks = takeCreditAsks();
    ASSERT_EQ(asks.size(), 1U);
    giveCredit(asks[0]);
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    // Each target refuses: the request moves on with the same credit, and gives it back in the end.
    answer(starts[0], {.status = 503, .more = {{.name = "Saltvane-Not-Run", .value = "1"}}});
    EXPECT_TRUE(takeCreditAsks().empty());
    for (const requests::TargetStart& start : takeStarts())
        answer(start, {.status = 503, .more = {{.name = "Saltvane-Not-Run", .value = "1"}}});
    ASSERT_EQ(status(), 503);
    advance(1s); // The targets are asked again, but a credit does not keep so long.
    ask("key-l");
    EXPECT_EQ(takeCreditAsks().size(), 1U);
}

TEST_F(AccountTest, ARepeatOfWhatMayHaveRunNeedsAnotherCredit)
{
    ask("key-l");
    auto asks = takeCreditAsks();
    ASSERT_EQ(asks.size(), 1U);
    giveCredit(asks[0]);
    const auto starts = takeStarts();
    ASSERT_EQ(starts.size(), 1U);
    fail(starts[0], true);
    EXPECT_TRUE(takeStarts().empty());
    asks = takeCreditAsks();
    ASSERT_EQ(asks.size(), 1U);
    giveCredit(asks[0]);
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(AccountTest, WhereNoRegistryHostAnswersItIsRefusedAndMayComeBack)
{
    ask("key-l");
    advance(1s);
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "limit-unknown");
}

/// Guards against requests that are held though it is known that nobody will tell.
TEST_F(AccountTest, WhileNoRegistryHostAnswersAllButProbesAreRefusedAtOnce)
{
    ask("key-l");
    advance(1s);
    ASSERT_EQ(status(), 503);
    (void)takeCreditAsks();
    constexpr int Requests = 20;
    int refusedAtOnce = 0;
    for (int i = 0; i < Requests; ++i)
        refusedAtOnce += ask("key-l").value != 0 && status() == 503 ? 1 : 0;
    EXPECT_EQ(refusedAtOnce, Requests - 1);
    const auto asks = takeCreditAsks();
    ASSERT_EQ(asks.size(), 1U);
    giveCredit(asks[0]);
    EXPECT_EQ(takeStarts().size(), 1U);
    ask("key-l");
    EXPECT_EQ(takeCreditAsks().size(), 1U);
}

TEST_F(AccountTest, ACallerWhoLeavesWhileItWaitsIsNotServed)
{
    abort(ask("key-l"));
    const auto asks = takeCreditAsks();
    ASSERT_EQ(asks.size(), 1U);
    giveCredit(asks[0]);
    EXPECT_TRUE(takeStarts().empty());
    // Its credit is at hand for the next one.
    ask("key-l");
    EXPECT_EQ(takeStarts().size(), 1U);
}

TEST_F(AccountTest, NoLogLineTellsAKey)
{
    answerPull();
    for (const char* key : {"key-a1", "key-l", "secret-unknown"})
        ask(key);
    for (const requests::TargetStart& start : takeStarts())
        fail(start, true);
    advance(2s);
    for (const std::vector<std::string>& lines : {takeDecisions(), takeLines()}) {
        for (const std::string& line : lines) {
            EXPECT_EQ(line.find("key-a1"), std::string::npos) << line;
            EXPECT_EQ(line.find("key-l"), std::string::npos) << line;
            EXPECT_EQ(line.find("secret-unknown"), std::string::npos) << line;
        }
    }
}

} // namespace saltvane::gateway::test
