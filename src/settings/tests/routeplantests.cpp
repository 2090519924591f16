/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/routeplanformat.h"

#include <gtest/gtest.h>
#include <random>

namespace saltvane::settings {

namespace {

const std::string ValidPlan = R"({"version": 7,
 "routes": [
  {"name": "a", "host": "h", "path_prefix": "/a/", "kind": "at_most_once", "timeout_ms": 4000, "objective_ms": 600.5,
   "rank": 1, "service": "s", "attempts": 2, "affinity": true, "permitted_regions": ["north"], "unknown": 1},
  {"name": "b", "host": "h", "path_prefix": "/b/", "kind": "large_read", "timeout_ms": 1500, "attempts": 1,
   "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 0}]}],
 "services": [{"name": "s", "probe_path": "/health", "connections": 330, "slow_start_s": 3.0, "slow_start_per_s": 14.0},
              {"name": "t", "probe_path": "/health"}],
 "limits": {"header_bytes": 1000, "body_bytes": 2000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    const size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

std::string findingsOf(const std::string& text)
{
    const Result<model::RoutePlan, Findings> plan = parseRoutePlan(text, "plan");
    std::string all;
    if (plan)
        return all;
    for (const Finding& finding : plan.error().items())
        all += toString(finding) + "\n";
    return all;
}

} // namespace

TEST(RoutePlanTest, ReadsEveryField)
{
    const Result<model::RoutePlan, Findings> plan = parseRoutePlan(ValidPlan, "plan");
    ASSERT_TRUE(plan) << findingsOf(ValidPlan);
    const model::Route& route = plan.value().routes.at(0)->route;
    EXPECT_EQ(plan.value().version.value, 7U);
    EXPECT_EQ(route.kind, model::RouteKind::AtMostOnce);
    EXPECT_EQ(route.timeout, 4s);
    EXPECT_EQ(route.objective, Duration(600'500us));
    EXPECT_TRUE(route.hasAffinity);
    EXPECT_EQ(route.permittedRegions.at(0), RegionName("north"));
    EXPECT_EQ(plan.value().routes.at(1)->route.services.size(), 2U);
    EXPECT_EQ(plan.value().services.at(0).slowStart, 3s);
    EXPECT_EQ(plan.value().limits.bodyBytes, 2000U);
}

TEST(RoutePlanTest, ReportsErrorsWithTheirLocations)
{
    EXPECT_NE(
        findingsOf(replaceFirst(ValidPlan, "\"service\": \"s\", \"attempts\"", "\"service\": \"x\", \"attempts\""))
            .find("routes[0].service"),
        std::string::npos);
    EXPECT_NE(findingsOf(replaceFirst(ValidPlan, "at_most_once", "once")).find("routes[0].kind"), std::string::npos);
    EXPECT_NE(
        findingsOf(replaceFirst(ValidPlan, "\"attempts\": 2", "\"attempts\": 0")).find("attempts"), std::string::npos);
    EXPECT_NE(findingsOf(replaceFirst(ValidPlan, "600.5", "64000")).find("objective_ms"), std::string::npos);
    EXPECT_EQ(findingsOf(replaceFirst(ValidPlan, "600.5", "63999")), "");
    EXPECT_NE(
        findingsOf(replaceFirst(ValidPlan, "\"weight\": 90", "\"weight\": 0")).find("sum to 0"), std::string::npos);
    EXPECT_NE(
        findingsOf(replaceFirst(ValidPlan, "\"version\": 7", "\"version\": \"7\"")).find("version"), std::string::npos);
    EXPECT_NE(findingsOf(ValidPlan.substr(0, 200)).find("plan:"), std::string::npos);
}

TEST(RoutePlanTest, SyntaxErrorIsReportedWithItsLine)
{
    const std::string text = findingsOf("{\"version\": 7,\n \"routes\": ]}");
    EXPECT_NE(text.find("plan:2:"), std::string::npos) << text;
}

TEST(RoutePlanTest, AllFindingsAreReportedAtOnce)
{
    std::string text = replaceFirst(ValidPlan, "at_most_once", "once");
    text = replaceFirst(text, "\"timeout_ms\": 1500, ", "");
    const std::string all = findingsOf(text);
    EXPECT_NE(all.find("routes[0].kind"), std::string::npos);
    EXPECT_NE(all.find("routes[1].timeout_ms"), std::string::npos);
}

/// Every corrupted plan is either parsed or rejected with findings.
TEST(RoutePlanTest, CorruptedPlansAreParsedOrRejected)
{
    std::mt19937 random(7);
    for (int round = 0; round < 5000; ++round) {
        std::string text = ValidPlan;
        for (uint32_t change = random() % 4 + 1; change > 0; --change) {
            const size_t at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[at] = static_cast<char>(random() % 256);
                break;
            case 1:
                text.erase(at, random() % 20);
                break;
            default:
                text.insert(at, text.substr(random() % text.size(), 10));
            }
        }
        const Result<model::RoutePlan, Findings> plan = parseRoutePlan(text, "plan");
        EXPECT_TRUE(plan || !plan.error().isEmpty());
    }
}

// A number out of range makes the JSON library throw. Uncaught, the exception ended the process of each host that
// received the plan.
TEST(RoutePlanTest, NumberBeyondTheRangeOfDoubleIsAFinding)
{
    for (const char* text : {R"({"version":1e999})", R"({"version":1,"routes":[{"timeout_ms":15e3333333333}]})"})
        EXPECT_FALSE(parseRoutePlan(text, "plan")) << text;
}

// Durations of over three hundred years must not overflow (the resulting value depends on the machine), and whole
// numbers must not be truncated to 32 bits: a route with 2^32 + 1 attempts would get one attempt.
TEST(RoutePlanTest, NumberThatDoesNotFitItsFieldIsAFinding)
{
    const auto planWith = [](const std::string& route, const std::string& service) {
        return R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"repeatable","timeout_ms":1000,)"
               R"("service":"s",)"
            + route + R"(}],"services":[{"name":"s","probe_path":"/health")" + service + "}]}";
    };
    EXPECT_TRUE(parseRoutePlan(planWith(R"("attempts":2,"rank":3)", R"(,"slow_start_s":3,"connections":9)"), "plan"));
    for (const char* route : {R"("attempts":4294967297)", R"("attempts":2,"rank":4294967296)"})
        EXPECT_FALSE(parseRoutePlan(planWith(route, ""), "plan")) << route;
    for (const char* service : {R"(,"slow_start_s":8888888888888888888888)", R"(,"connections":4294967297)"})
        EXPECT_FALSE(parseRoutePlan(planWith(R"("attempts":2)", service), "plan")) << service;
}

} // namespace saltvane::settings
