/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/accounttable.h"
#include "model/routeplan.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace saltvane::gateway {

/// A route with the state that its requests share: which of its services is next.
struct PlannedRoute {
    explicit PlannedRoute(model::RouteRef planRoute)
        : shared(std::move(planRoute))
        , route(shared->route)
        , currentWeights(route.services.size(), 0.0)
    {
    }

    model::RouteRef shared;
    const model::Route& route;
    size_t position = 0; ///< Index in the plan.
    /// By service of the route: current weights of the smooth weighted round robin; the highest is next.
    std::vector<double> currentWeights;

    /// Selects the service of the next request by the weights.
    [[nodiscard]] const ServiceName& nextService();
};

/// A plan indexed for look-up by host name and longest path prefix.
class RouteTable {
public:
    explicit RouteTable(const ClientKeyHasher& hasher)
        : accounts_(hasher)
    {
    }

    /// Replaces the plan and keeps the state of routes that are in both; the cost is proportional to the number of
    /// changed routes.
    void install(model::RoutePlan plan, const LogPosition& position = {});

    /// Returns null if no route matches. `host` may include a port.
    [[nodiscard]] PlannedRoute* find(std::string_view host, std::string_view target) const;
    /// Returns null if no client account holds the key.
    [[nodiscard]] model::AccountRef findAccount(const ClientKeyDigest& key) const { return accounts_.find(key); }
    /// Returns null if there is no client account of this name.
    [[nodiscard]] model::AccountRef findAccountNamed(const model::ClientAccountName& name) const
    {
        return accounts_.findNamed(name);
    }
    [[nodiscard]] const model::RoutePlan& plan() const { return plan_; }
    /// Log position at which the plan came into force.
    [[nodiscard]] const LogPosition& planPosition() const { return planPosition_; }

private:
    using Routes = std::vector<std::unique_ptr<PlannedRoute>>;

    /// Replaces `count` routes from index `first` on by these.
    void replace(size_t first, size_t count, std::span<const model::RouteRef> routes);
    void sortRoutes(const std::string& host);

    model::RoutePlan plan_;
    LogPosition planPosition_;
    AccountTable accounts_;
    Routes routes_; ///< In the plan's order.
    /// Routes by host name; the longest prefix first, then in the plan's order.
    std::unordered_map<std::string, std::vector<PlannedRoute*>> byHost_;
};

} // namespace saltvane::gateway
