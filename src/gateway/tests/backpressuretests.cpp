/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetbackpressure.h"
#include "gatewayfixture.h"

#include <algorithm>

namespace saltvane::gateway::test {

namespace {

class BackpressureTest : public GatewayFixture {
protected:
    /// One request, answered with these headers.
    void serve(const std::vector<model::Header>& headers)
    {
        request({});
        for (const requests::TargetStart& start : takeStarts())
            answer(start, {.more = headers});
        (void)takeResponse();
    }
    [[nodiscard]] bool isLogged(const std::string& text)
    {
        const std::vector<std::string> lines = takeLines();
        return std::ranges::any_of(
            lines, [&](const std::string& line) { return line.find(text) != std::string::npos; });
    }
};

NamedLimit limitOf(const std::vector<std::string>& values)
{
    std::vector<model::Header> headers;
    for (const std::string& value : values)
        headers.push_back({.name = "Saltvane-Limit", .value = value});
    return readNamedLimit(headers, "saltvane-limit");
}

} // namespace

TEST(NamedLimitTest, ReadsDecimalNumbers)
{
    EXPECT_FALSE(limitOf({}).isNamed);
    EXPECT_EQ(limitOf({"2.1"}).perSecond, 2.1);
    EXPECT_EQ(limitOf({" 2.1 "}).perSecond, 2.1);
    EXPECT_EQ(limitOf({"0"}).perSecond, 0);
    EXPECT_EQ(limitOf({"0.0"}).perSecond, 0);
    EXPECT_EQ(limitOf({"1e300"}).perSecond, 1e300);
    EXPECT_EQ(limitOf({"7", "2.5"}).perSecond, 2.5);
    EXPECT_EQ(limitOf({"7", "many"}).perSecond, 7);
}

TEST(NamedLimitTest, WhatIsNoNumberIsNamedAndNotRead)
{
    for (const char* text : {"", "many", "-1", "-0", "nan", "inf", "1e999", "2.1 1", "2,1", "0x10"}) {
        const NamedLimit limit = limitOf({text});
        EXPECT_TRUE(limit.isNamed) << text;
        EXPECT_FALSE(limit.perSecond) << text;
    }
}

TEST_F(BackpressureTest, ALimitIsLoggedAsItIsNamedAndAsItEnds)
{
    installPlan(1);
    reportTargets({target("t-1")});
    serve({{"Saltvane-Limit", "2.1"}});
    EXPECT_TRUE(isLogged("event=target_limit target=t-1 service=quotes per_second=2.1"));
    advance(1s);
    serve({{"Saltvane-Limit", "2.1"}});
    EXPECT_FALSE(isLogged("target_limit"));
    advance(1s);
    serve({{"Saltvane-Limit", "soon"}});
    EXPECT_TRUE(isLogged("event=target_limit_unreadable target=t-1 service=quotes per_second=soon"));
    advance(1s);
    serve({});
    EXPECT_TRUE(isLogged("event=target_limit target=t-1 service=quotes per_second=none"));
}

TEST_F(BackpressureTest, AnAnswerToAnEarlierRequestDoesNotEndALimit)
{
    installPlan(1);
    reportTargets({target("t-1")});
    request({.id = "earlier"});
    advance(100ms);
    request({.id = "later"});
    const std::vector<requests::TargetStart> starts = takeStarts();
    ASSERT_EQ(starts.size(), 2U);
    answer(starts[1], {.id = "later", .more = {{"Saltvane-Limit", "2.1"}}});
    answer(starts[0], {.id = "earlier"});
    EXPECT_FALSE(isLogged("per_second=none"));
}

} // namespace saltvane::gateway::test
