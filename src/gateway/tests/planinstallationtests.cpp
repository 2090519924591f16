/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

namespace saltvane::gateway::test {

namespace {

constexpr size_t ManyRoutes = 19'000;

std::string routeText(const std::string& name, const std::string& prefix)
{
    return R"(,{"name":")" + name + R"(","host":"prices.example","path_prefix":")" + prefix
        + R"(","kind":"repeatable","timeout_ms":1500,"service":"quotes","attempts":2})";
}

std::string manyRoutes()
{
    std::string text;
    for (size_t i = 0; i < ManyRoutes; ++i)
        text += routeText("r-" + std::to_string(i), "/many/" + std::to_string(i) + "/");
    return text;
}

} // namespace

class PlanInstallationTest : public GatewayFixture {
protected:
    PlanInstallationTest()
    {
        installPlan(1);
        reportTargets({target("t-1")});
    }
    void startLargePlan() { installPlan(2, manyRoutes()); }
    std::string reasonOf(const std::string& path)
    {
        request({.path = path});
        const std::vector<requests::TargetStart> starts = takeStarts();
        for (const requests::TargetStart& start : starts)
            answer(start, {});
        const auto response = takeResponse();
        return response ? header(response->headers, "Saltvane-Reason") : "no response";
    }
    [[nodiscard]] uint64_t version() const { return gateway_->status(now_).inForceVersion.value; }
};

// Guards against callers that wait while a large plan is installed, and against requests that are denied for good
// because their route is in the plan that is being installed.
TEST_F(PlanInstallationTest, RequestsAreServedByTheFormerPlanMeanwhile)
{
    startLargePlan();
    EXPECT_EQ(version(), 1U);
    EXPECT_EQ(reasonOf("/read/1"), "");
    EXPECT_EQ(reasonOf("/many/7/x"), "not-ready") << "the route may be in the new plan";
    advance(500ms);
    answerPull();
    EXPECT_EQ(version(), 2U);
    EXPECT_EQ(reasonOf("/many/7/x"), "");
    EXPECT_EQ(reasonOf("/none/"), "unknown-service");
}

// Guards against requests by a plan that was replaced longer ago than the operator's limit.
TEST_F(PlanInstallationTest, TheFormerPlanIsNotUsedBeyondItsLimit)
{
    advance(1950ms); // Of 2,500 ms from a plan's acknowledgement until it has to be in force, 80 % are used.
    EXPECT_EQ(reasonOf("/read/1"), "");
    startLargePlan();
    advance(40ms);
    EXPECT_EQ(reasonOf("/read/1"), "stale-state");
    advance(500ms);
    answerPull();
    EXPECT_EQ(version(), 2U);
    EXPECT_EQ(reasonOf("/read/1"), "");
}

// Guards against large plans that follow one another so quickly that none is ever installed.
TEST_F(PlanInstallationTest, APlanThatArrivesMeanwhileIsInstalledNext)
{
    startLargePlan();
    installPlan(3, routeText("new", "/new/"));
    EXPECT_EQ(version(), 1U);
    advance(500ms);
    EXPECT_EQ(version(), 3U);
}

} // namespace saltvane::gateway::test
