/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/routetable.h"

#include <gtest/gtest.h>

#include <random>

namespace saltvane::gateway::test {

namespace {

const ClientKeyHasher Hasher("secret");

model::RouteRef routeTo(const std::string& host, const std::string& prefix, const std::string& service)
{
    return model::makeRoute({.host = host,
        .pathPrefix = prefix,
        .services = {{.service = ServiceName(service), .weight = 1}, {.service = ServiceName("other"), .weight = 1}}});
}

std::string serviceAt(const RouteTable& table, const std::string& host, const std::string& path)
{
    const PlannedRoute* route = table.find(host, path);
    return route == nullptr ? "" : route->route.services.at(0).service.value();
}

} // namespace

TEST(RouteTableTest, FirstOfTwoEqualRoutesMatches)
{
    const auto first = routeTo("h", "/a/", "first");
    const auto second = routeTo("h", "/a/", "second");
    RouteTable table {Hasher};
    table.install({.routes = {first, second}});
    EXPECT_EQ(serviceAt(table, "h", "/a/1"), "first");
    table.install({.routes = {second, first}});
    EXPECT_EQ(serviceAt(table, "h", "/a/1"), "second");
    table.install({.routes = {first}});
    EXPECT_EQ(serviceAt(table, "h", "/a/1"), "first");
    table.install({});
    EXPECT_EQ(serviceAt(table, "h", "/a/1"), "");
}

TEST(RouteTableTest, UnchangedRouteKeepsItsWeights)
{
    const auto unchanged = routeTo("h", "/a/", "one");
    RouteTable table {Hasher};
    table.install({.routes = {unchanged}});
    const ServiceName first = table.find("h", "/a/")->nextService();
    table.install({.routes = {routeTo("h", "/b/", "two"), unchanged}});
    EXPECT_NE(table.find("h", "/a/")->nextService(), first);
}

/// After any series of plans, the table matches routes like one in which only the last plan was installed.
TEST(RouteTableTest, UpdatedTableMatchesFreshTable)
{
    std::mt19937 random(3); // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible sequence.
    const auto draw = [&](size_t below) { return random() % below; };
    RouteTable table {Hasher};
    std::vector<model::RouteRef> routes;
    for (int round = 0; round < 1000; ++round) {
        for (size_t change = draw(4); change > 0; --change) {
            const auto at = routes.begin() + static_cast<ptrdiff_t>(draw(routes.size() + 1));
            if (routes.size() > 20 || (draw(3) == 0 && at != routes.end()))
                routes.erase(at == routes.end() ? routes.begin() : at);
            else
                routes.insert(
                    at, routeTo("H" + std::to_string(draw(3)), draw(2) == 0 ? "/a/" : "/a/b/", std::to_string(round)));
        }
        if (!routes.empty() && draw(5) == 0)
            std::swap(routes.front(), routes.back());
        table.install({.routes = routes});
        RouteTable fresh {Hasher};
        fresh.install({.routes = routes});
        for (const char* host : {"h0", "h1:80", "h2", "h3"}) {
            for (const char* path : {"/a/", "/a/b/c", "/c/"})
                ASSERT_EQ(serviceAt(table, host, path), serviceAt(fresh, host, path)) << round;
        }
    }
}

} // namespace saltvane::gateway::test
