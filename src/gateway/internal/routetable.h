/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/routeplan.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace saltvane::gateway {

/// A route with what its requests share: whose turn it is among its services.
struct PlannedRoute {
    model::Route route;
    std::vector<double> credits; ///< By service of the route; the highest is next (smooth weighted round robin).

    /// The service of the next request, by the weights.
    [[nodiscard]] const ServiceName& nextService();
};

/// A plan compiled for look-up by host name and longest path prefix.
class RouteTable {
public:
    explicit RouteTable(model::RoutePlan plan);

    /// Null where no route matches. `host` may carry a port.
    [[nodiscard]] PlannedRoute* find(std::string_view host, std::string_view target) const;
    [[nodiscard]] const model::RoutePlan& plan() const { return plan_; }

private:
    model::RoutePlan plan_;
    std::vector<std::unique_ptr<PlannedRoute>> routes_;
    std::unordered_map<std::string, std::vector<PlannedRoute*>> byHost_; ///< Longest prefix first.
};

} // namespace saltvane::gateway
