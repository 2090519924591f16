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

/// A route with what its requests share: whose turn it is among its services.
struct PlannedRoute {
    explicit PlannedRoute(model::RouteRef given)
        : shared(std::move(given))
        , route(shared->route)
        , credits(route.services.size(), 0.0)
    {
    }

    model::RouteRef shared;
    const model::Route& route;
    size_t position = 0; ///< In the plan.
    std::vector<double> credits; ///< By service of the route; the highest is next (smooth weighted round robin).

    /// The service of the next request, by the weights.
    [[nodiscard]] const ServiceName& nextService();
};

/// A plan compiled for look-up by host name and longest path prefix.
class RouteTable {
public:
    /// Takes the place of the plan before, and keeps what the two share: costs what differs.
    void install(model::RoutePlan plan);

    /// Null where no route matches. `host` may carry a port.
    [[nodiscard]] PlannedRoute* find(std::string_view host, std::string_view target) const;
    /// Null where no client account holds the key.
    [[nodiscard]] model::AccountRef findAccount(std::string_view key) const { return accounts_.find(key); }
    [[nodiscard]] const model::RoutePlan& plan() const { return plan_; }

private:
    using Routes = std::vector<std::unique_ptr<PlannedRoute>>;

    /// Puts these routes in place of those from `first` on, as many as there were more before.
    void replace(size_t first, size_t count, std::span<const model::RouteRef> routes);
    void order(const std::string& host);

    model::RoutePlan plan_;
    AccountTable accounts_;
    Routes routes_; ///< In the plan's order.
    std::unordered_map<std::string, std::vector<PlannedRoute*>>
        byHost_; ///< Longest prefix first, then the plan's order.
};

} // namespace saltvane::gateway
