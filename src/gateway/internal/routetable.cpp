/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/routetable.h"

#include <algorithm>
#include <cctype>

namespace saltvane::gateway {

namespace {

std::string normalHost(std::string_view host)
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
    for (size_t i = 0; i < credits.size(); ++i) {
        credits[i] += route.services[i].weight;
        sum += route.services[i].weight;
        if (credits[i] > credits[best])
            best = i;
    }
    credits[best] -= sum;
    return route.services[best].service;
}

RouteTable::RouteTable(model::RoutePlan plan)
    : plan_(std::move(plan))
{
    for (const model::Route& route : plan_.routes) {
        routes_.push_back(std::make_unique<PlannedRoute>(
            PlannedRoute {.route = route, .credits = std::vector<double>(route.services.size(), 0.0)}));
        byHost_[normalHost(route.host)].push_back(routes_.back().get());
    }
    for (auto& [host, routes] : byHost_) {
        std::ranges::stable_sort(
            routes, std::ranges::greater {}, [](const PlannedRoute* route) { return route->route.pathPrefix.size(); });
    }
}

PlannedRoute* RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto found = byHost_.find(normalHost(host));
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
