/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/routeplanreader.h"

#include "settings/internal/plantext.h"
#include "settings/internal/routeplanfields.h"
#include "settings/routeplanformat.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>
#include <xxhash.h>

namespace saltvane::settings {

namespace {

using Json = nlohmann::json;

/// Routes of the plan before among which the next one is looked for first: plans change in few places.
constexpr size_t LookAhead = 8;

std::vector<ServiceName> serviceNamesOf(const model::RoutePlan& plan)
{
    std::vector<ServiceName> names;
    for (const model::RoutedService& service : plan.services)
        names.push_back(service.name);
    return names;
}

} // namespace

/// Finds the routes of the plan before by their texts, in whatever order.
class RoutePlanReader::Finder {
public:
    explicit Finder(std::span<const Known> known)
        : known_(known)
    {
    }

    const Known* find(const TextDigest& digest)
    {
        const size_t end = std::min(known_.size(), next_ + LookAhead);
        for (size_t i = next_; i < end; ++i) {
            if (known_[i].digest == digest)
                return take(i);
        }
        if (index_.empty()) {
            for (size_t i = 0; i < known_.size(); ++i)
                index_.emplace(known_[i].digest.first, i);
        }
        const auto found = index_.find(digest.first);
        return found == index_.end() || known_[found->second].digest != digest ? nullptr : take(found->second);
    }

private:
    const Known* take(size_t position)
    {
        next_ = position + 1;
        return &known_[position];
    }

    std::span<const Known> known_;
    size_t next_ = 0;
    std::unordered_map<uint64_t, size_t> index_; ///< Built where a route isn't found close by.
};

RoutePlanReader::TextDigest RoutePlanReader::digestOf(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.low64, hash.high64};
}

Result<model::RoutePlan, Findings> RoutePlanReader::read(std::string_view text, const std::string& sourceName)
{
    std::optional<model::RoutePlan> plan = readParts(text, sourceName);
    if (!plan)
        return parseRoutePlan(text, sourceName); // Tells all that is wrong, with its places.
    const std::vector<ServiceName> services = serviceNamesOf(*plan);
    const bool mustCheckAll = services != services_;
    Findings findings = mustCheckAll ? model::checkRoutePlan(*plan, sourceName)
                                     : model::checkRoutePlan(*plan, newRoutes_, sourceName);
    if (!findings.isEmpty())
        return findings;
    known_ = std::move(read_);
    services_ = services;
    return *std::move(plan);
}

std::optional<model::RoutePlan> RoutePlanReader::readParts(std::string_view text, const std::string& sourceName)
{
    const std::optional<PlanText> parts = splitPlanText(text);
    if (!parts)
        return std::nullopt;
    Findings findings;
    newRoutes_.clear();
    read_.clear();
    read_.reserve(parts->routes.size());
    try {
        model::RoutePlan plan = readPlanFields(Json::parse(parts->rest), sourceName, findings);
        plan.routes.reserve(parts->routes.size());
        Finder finder(known_);
        for (const std::string_view route : parts->routes) {
            Known known {.digest = digestOf(route)};
            if (const Known* before = finder.find(known.digest)) {
                known.route = before->route;
            } else {
                newRoutes_.push_back(read_.size());
                known.route = model::makeRoute(readPlanRoute(Json::parse(route), read_.size(), sourceName, findings));
            }
            plan.routes.push_back(known.route);
            read_.push_back(std::move(known));
        }
        if (!findings.isEmpty())
            return std::nullopt;
        return plan;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace saltvane::settings
