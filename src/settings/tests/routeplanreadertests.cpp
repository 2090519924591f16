/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/routeplanreader.h"

#include "settings/routeplanformat.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>

namespace saltvane::settings {

namespace {

using Json = nlohmann::json;

Json routeOf(size_t number, int attempts = 2)
{
    return {{"name", "r-" + std::to_string(number)}, {"host", "h\\" + std::to_string(number % 7)},
        {"path_prefix", "/p-" + std::to_string(number) + "/"}, {"kind", "repeatable"}, {"timeout_ms", 1000},
        {"attempts", attempts}, {"service", number % 2 == 0 ? "s" : "t"}, {"note", "a \" quote, ] and }"}};
}

Json planOf(size_t routes)
{
    Json plan {{"version", 1}, {"routes", Json::array()},
        {"services", {{{"name", "s"}, {"probe_path", "/h"}}, {{"name", "t"}, {"probe_path", "/h"}}}}};
    for (size_t number = 0; number < routes; ++number)
        plan["routes"].push_back(routeOf(number));
    return plan;
}

Json accountsOf(size_t count)
{
    Json accounts = Json::array();
    for (size_t number = 0; number < count; ++number)
        accounts.push_back({{"name", "a-" + std::to_string(number)},
            {"keys", {"k-" + std::to_string(number), "l-" + std::to_string(number)}}, {"rate_per_s", number % 5},
            {"burst", number % 3}, {"permitted_regions", number % 2 == 0 ? Json::array() : Json {"north"}}});
    return accounts;
}

/// The content of a plan as text, or its findings.
std::string describe(const Result<model::RoutePlan, Findings>& plan)
{
    std::string text;
    if (!plan) {
        for (const Finding& finding : plan.error().items())
            text += toString(finding) + "\n";
        return text;
    }
    text = std::to_string(plan.value().version.value);
    for (const model::RouteRef& route : plan.value().routes)
        text += " " + route->route.name.value() + "@" + route->route.host + route->route.pathPrefix + "x"
            + std::to_string(route->route.attempts) + ">" + route->route.services.at(0).service.value();
    for (const model::RoutedService& service : plan.value().services)
        text += " " + service.name.value();
    for (const model::AccountRef& shared : plan.value().accounts) {
        const model::ClientAccount& account = shared->account;
        text += " " + account.name.value() + ":" + std::to_string(account.limit ? account.limit->perSecond : -1);
        for (const std::string& key : account.keys)
            text += "," + key;
        for (const RegionName& region : account.permittedRegions)
            text += "@" + region.value();
    }
    return text + (plan.value().hasAccounts ? " accounts" : "");
}

} // namespace

/// A host that parsed a large plan completely on each update would stall meanwhile.
TEST(RoutePlanReaderTest, OnlyAChangedRouteIsParsed)
{
    constexpr size_t Routes = 5000;
    RoutePlanReader reader;
    Json plan = planOf(Routes);
    ASSERT_TRUE(reader.read(plan.dump(), "plan"));
    EXPECT_EQ(reader.newRoutes(), Routes);
    plan["routes"][4321] = routeOf(4321, 7);
    plan["version"] = 2;
    const Result<model::RoutePlan, Findings> changed = reader.read(plan.dump(), "plan");
    ASSERT_TRUE(changed);
    EXPECT_EQ(reader.newRoutes(), 1U);
    EXPECT_EQ(changed.value().routes.at(4321)->route.attempts, 7U);
    plan["routes"].erase(17);
    plan["routes"].push_back(routeOf(Routes));
    ASSERT_TRUE(reader.read(plan.dump(), "plan"));
    EXPECT_EQ(reader.newRoutes(), 1U);
}

TEST(RoutePlanReaderTest, PlanThatWasReadAheadIsNotParsedAgain)
{
    constexpr size_t Routes = 100;
    constexpr size_t Part = 30;
    RoutePlanReader reader;
    Json plan = planOf(Routes);
    plan["client_accounts"] = accountsOf(Part);
    const std::string text = plan.dump();
    reader.startReadAhead(text);
    size_t parts = 1;
    while (!reader.readAhead(Part))
        ++parts;
    EXPECT_EQ(parts, (Routes + Part + Part - 1) / Part);
    const Result<model::RoutePlan, Findings> read = reader.read(text, "plan");
    ASSERT_TRUE(read);
    EXPECT_EQ(reader.newRoutes(), Routes);
    EXPECT_EQ(describe(read), describe(parseRoutePlan(text, "plan")));
    reader.startReadAhead(text);
    EXPECT_TRUE(reader.readAhead(1)); // All items are cached.
}

TEST(RoutePlanReaderTest, OnlyAChangedAccountIsParsed)
{
    constexpr size_t Accounts = 5000;
    RoutePlanReader reader;
    Json plan = planOf(3);
    plan["client_accounts"] = accountsOf(Accounts);
    ASSERT_TRUE(reader.read(plan.dump(), "plan"));
    EXPECT_EQ(reader.newAccounts(), Accounts);
    plan["client_accounts"][77]["keys"].push_back("another");
    const Result<model::RoutePlan, Findings> changed = reader.read(plan.dump(), "plan");
    ASSERT_TRUE(changed);
    EXPECT_EQ(reader.newAccounts(), 1U);
    EXPECT_EQ(changed.value().accounts.at(77)->account.keys.back(), "another");
}

TEST(RoutePlanReaderTest, AccountListedTwiceIsFoundAmongCachedAccounts)
{
    RoutePlanReader reader;
    Json plan = planOf(1);
    plan["client_accounts"] = accountsOf(2);
    ASSERT_TRUE(reader.read(plan.dump(), "plan"));
    plan["client_accounts"][1] = plan["client_accounts"][0];
    const Result<model::RoutePlan, Findings> refused = reader.read(plan.dump(), "plan");
    EXPECT_FALSE(refused);
    EXPECT_EQ(describe(refused), describe(parseRoutePlan(plan.dump(), "plan")));
}

TEST(RoutePlanReaderTest, FindingsOfAccountsHaveLocationsAndContainNoKeys)
{
    Json plan = planOf(1);
    plan["client_accounts"]
        = {{{"name", "a"}, {"keys", {"secret-1", "secret-2"}}}, {{"name", "b"}, {"keys", {"secret-2"}}},
            {{"name", "a"}, {"keys", {""}}}, {{"name", ""}, {"keys", Json::array()}}};
    EXPECT_EQ(describe(parseRoutePlan(plan.dump(), "plan")),
        "plan: client_accounts[1].keys: client_accounts[0] has one of these keys too\n"
        "plan: client_accounts[2].name: another account has this name: 'a'\n"
        "plan: client_accounts[2].keys: must not hold an empty key\n"
        "plan: client_accounts[3].name: must not be empty\n");
    plan["client_accounts"] = {{{"name", "a"}, {"keys", {"secret-1", 7}}, {"rate_per_s", -1}, {"rank", "high"}}};
    EXPECT_EQ(describe(parseRoutePlan(plan.dump(), "plan")),
        "plan: client_accounts[0].keys: must contain only strings\n"
        "plan: client_accounts[0].rate_per_s: must be a number that is not negative\n"
        "plan: client_accounts[0].rank: must be a whole number that is not negative\n");
}

TEST(RoutePlanReaderTest, RejectedPlanLeavesTheCacheUnchanged)
{
    RoutePlanReader reader;
    Json plan = planOf(10);
    ASSERT_TRUE(reader.read(plan.dump(), "plan"));
    Json other = planOf(10);
    other["routes"][3]["attempts"] = 0;
    EXPECT_FALSE(reader.read(other.dump(), "plan"));
    ASSERT_TRUE(reader.read(plan.dump(), "plan"));
    EXPECT_EQ(reader.newRoutes(), 0U);
}

TEST(RoutePlanReaderTest, CachedRouteIsCheckedAgainWhenServicesChange)
{
    RoutePlanReader reader;
    Json plan = planOf(10);
    ASSERT_TRUE(reader.read(plan.dump(), "plan"));
    plan["services"].erase(1);
    const Result<model::RoutePlan, Findings> refused = reader.read(plan.dump(), "plan");
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().items().size(), 5U);
}

/// For any text, the reader returns the same plan or the same findings as parseRoutePlan().
TEST(RoutePlanReaderTest, ChangedAndCorruptedPlansGiveTheResultsOfTheFullParser)
{
    std::mt19937 random(5); // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible on purpose.
    const auto draw = [&](size_t below) { return random() % below; };
    RoutePlanReader reader;
    Json plan = planOf(12);
    size_t read = 0;
    for (int round = 0; round < 4000; ++round) {
        Json& routes = plan["routes"];
        if (draw(3) == 0)
            routes.push_back(routeOf(draw(30), static_cast<int>(1 + draw(3))));
        if (draw(3) == 0 && routes.size() > 8)
            routes.erase(draw(routes.size()));
        if (draw(4) == 0)
            std::swap(routes[draw(routes.size())], routes[draw(routes.size())]);
        if (draw(4) == 0)
            plan["client_accounts"] = accountsOf(draw(6));
        if (draw(10) == 0)
            plan.erase("client_accounts");
        if (draw(20) == 0)
            plan["client_accounts"] = nullptr;
        plan["version"] = round;
        std::string text = draw(2) == 0 ? plan.dump() : plan.dump(1);
        for (size_t corruption = draw(3); corruption > 0; --corruption) {
            const size_t at = draw(text.size());
            switch (draw(3)) {
            case 0:
                text[at] = static_cast<char>(draw(256));
                break;
            case 1:
                text.erase(at, draw(20));
                break;
            default:
                text.insert(at, text.substr(draw(text.size()), 10));
            }
        }
        if (draw(2) == 0) {
            reader.startReadAhead(text);
            while (draw(8) != 0 && !reader.readAhead(draw(5)))
                continue;
        }
        const Result<model::RoutePlan, Findings> actual = reader.read(text, "plan");
        read += actual ? 1 : 0;
        ASSERT_EQ(describe(actual), describe(parseRoutePlan(text, "plan"))) << text;
    }
    EXPECT_GT(read, 500U);
}

TEST(RoutePlanReaderTest, PlanWithoutListsKeepsAllOtherFields)
{
    Json plan = planOf(3);
    Json rest = plan;
    rest["routes"] = Json::array();
    EXPECT_EQ(Json::parse(planWithoutLists(plan.dump(2))), rest);
    for (const char* text : {"", "[]", "{", R"({"routes":3})", R"({"routes":[1]})", R"({"routes":[],"routes":[]})"})
        EXPECT_EQ(planWithoutLists(text), text);
}

} // namespace saltvane::settings
