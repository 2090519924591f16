/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fleet.h"

#include <nlohmann/json.hpp>
#include <random>
#include <span>

/// Route plans for the tests of the fleet.
namespace saltvane::fleet::test {

namespace {

std::string randomName(std::mt19937& random, size_t length)
{
    std::uniform_int_distribution<int> letter('a', 'z');
    std::string name;
    for (size_t i = 0; i < length; ++i)
        name.push_back(static_cast<char>(letter(random)));
    return name;
}

nlohmann::json randomRoute(std::mt19937& random)
{
    constexpr size_t NameLength = 7;
    return {{"name", "r-" + randomName(random, NameLength)}, {"host", randomName(random, NameLength) + ".example"},
        {"path_prefix", "/" + randomName(random, NameLength) + "/"}, {"kind", "repeatable"}, {"timeout_ms", 6000},
        {"objective_ms", 800}, {"rank", 1}, {"attempts", 2}, {"affinity", true}, {"service", "quotes"}};
}

nlohmann::json planWith(uint64_t version, std::span<const char* const> services)
{
    nlohmann::json plan {{"version", version}, {"services", nlohmann::json::array()}};
    for (const char* service : services)
        plan["services"].push_back({{"name", service}, {"probe_path", "/health"}, {"connections", 100}});
    return plan;
}

nlohmann::json routeJson(const std::string& path, const std::string& service)
{
    return {{"name", path}, {"host", "prices.example"}, {"path_prefix", path}, {"kind", "repeatable"},
        {"timeout_ms", 1500}, {"attempts", 2}, {"affinity", true}, {"service", service}};
}

} // namespace

std::string makeLargePlan(uint64_t version, size_t routes, uint32_t weight)
{
    std::mt19937 random(1); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same routes each time.
    nlohmann::json plan = planWith(version, std::array {"quotes", "files"});
    plan["routes"].push_back(routeJson("/read/", "quotes"));
    while (plan["routes"].size() + 1 < routes)
        plan["routes"].push_back(randomRoute(random));
    nlohmann::json split = routeJson("/split/", {});
    split.erase("service");
    split["split"]
        = nlohmann::json::array({{{"service", "quotes"}, {"weight", 90}}, {{"service", "files"}, {"weight", weight}}});
    plan["routes"].push_back(std::move(split));
    return plan.dump();
}

std::string makePlan(uint64_t version, const std::map<std::string, std::string>& routes)
{
    nlohmann::json plan = planWith(version, FleetServices);
    for (const auto& [path, service] : routes)
        plan["routes"].push_back(routeJson(path, service));
    return plan.dump();
}

} // namespace saltvane::fleet::test
