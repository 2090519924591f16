/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/routetable.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <unordered_set>

namespace saltvane::gateway {

namespace {

std::string normalizeHost(std::string_view host)
{
    const size_t colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    std::string name(hasPort ? host.substr(0, colon) : host);
    std::ranges::transform(name, name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

const ServiceName& PlannedRoute::nextService()
{
    double sum = 0;
    size_t best = 0;
    for (size_t i = 0; i < currentWeights.size(); ++i) {
        currentWeights[i] += route.services[i].weight;
        sum += route.services[i].weight;
        if (currentWeights[i] > currentWeights[best])
            best = i;
    }
    currentWeights[best] -= sum;
    return route.services[best].service;
}

void RouteTable::install(model::RoutePlan plan, const LogPosition& position)
{
    planPosition_ = position;
    const std::vector<model::RouteRef>& before = plan_.routes;
    const std::vector<model::RouteRef>& after = plan.routes;
    const auto [beforeEnd, afterEnd] = std::ranges::mismatch(before, after);
    const auto commonPrefix = static_cast<size_t>(beforeEnd - before.begin());
    size_t commonSuffix = 0;
    const size_t maxSuffix = std::min(before.size(), after.size()) - commonPrefix;
    while (
        commonSuffix < maxSuffix && before[before.size() - 1 - commonSuffix] == after[after.size() - 1 - commonSuffix])
        ++commonSuffix;
    replace(commonPrefix, before.size() - commonSuffix - commonPrefix,
        std::span(after).subspan(commonPrefix, after.size() - commonSuffix - commonPrefix));
    accounts_.install(plan.accounts);
    plan_ = std::move(plan);
}

void RouteTable::replace(size_t first, size_t count, std::span<const model::RouteRef> routes)
{
    std::unordered_multimap<const model::PlanRoute*, std::unique_ptr<PlannedRoute>> former;
    std::unordered_set<std::string> hosts;
    const auto begin = routes_.begin() + static_cast<ptrdiff_t>(first);
    const auto end = begin + static_cast<ptrdiff_t>(count);
    for (auto route = begin; route != end; ++route) {
        hosts.insert(normalizeHost((*route)->route.host));
        former.emplace((*route)->shared.get(), std::move(*route));
    }
    Routes updated;
    updated.reserve(routes.size());
    for (const model::RouteRef& route : routes) {
        if (auto kept = former.extract(route.get())) {
            updated.push_back(std::move(kept.mapped()));
            continue;
        }
        updated.push_back(std::make_unique<PlannedRoute>(route));
        const std::string host = normalizeHost(route->route.host);
        hosts.insert(host);
        byHost_[host].push_back(updated.back().get());
    }
    for (const auto& [shared, route] : former)
        std::erase(byHost_[normalizeHost(route->route.host)], route.get());
    const auto insertPosition = routes_.erase(begin, end);
    routes_.insert(insertPosition, std::make_move_iterator(updated.begin()), std::make_move_iterator(updated.end()));
    for (size_t position = first; position < routes_.size(); ++position)
        routes_[position]->position = position;
    for (const std::string& host : hosts)
        sortRoutes(host);
}

void RouteTable::sortRoutes(const std::string& host)
{
    const auto found = byHost_.find(host);
    if (found->second.empty()) {
        byHost_.erase(found);
        return;
    }
    std::ranges::sort(found->second, [](const PlannedRoute* left, const PlannedRoute* right) {
        const size_t leftSize = left->route.pathPrefix.size();
        const size_t rightSize = right->route.pathPrefix.size();
        return leftSize == rightSize ? left->position < right->position : leftSize > rightSize;
    });
}

PlannedRoute* RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto found = byHost_.find(normalizeHost(host));
    if (found == byHost_.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (PlannedRoute* route : found->second) {
        if (path.starts_with(route->route.pathPrefix))
            return route;
    }
    return nullptr;
}

} // namespace saltvane::gateway
