/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "base/ids.h"
#include "base/timetypes.h"
#include "model/clientaccount.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// The route plan: maps host names and paths to services, with limits and rules for each route (docs/ROUTES.md).
/// Operators always replace the complete plan. Targets of its services register themselves with the registry.
namespace saltvane::model {

using RouteName = Name<struct RouteNameTag>;

/// How often a request of a route may run.
enum class RouteKind {
    Repeatable, ///< Any number of times.
    AtMostOnce, ///< Never twice, even if the answer to the first run is lost.
    LargeRead, ///< Repeatable, with responses large enough to load network links.
};
[[nodiscard]] std::string_view toString(RouteKind kind);

/// Weight of a service within a route: its fraction of the requests is its weight divided by the sum of all weights.
struct ServiceWeight {
    ServiceName service;
    double weight = 0;
};

struct Route {
    RouteName name;
    std::string host; ///< As in the Host header, without a port; case-insensitive.
    std::string pathPrefix; ///< Begins and ends with a slash. The longest match applies.
    RouteKind kind = RouteKind::Repeatable;
    Duration timeout {}; ///< Maximum duration of a request.
    Duration objective {}; ///< Response time within which an answer counts in full.
    uint32_t rank = 0; ///< 0 is the most urgent.
    uint32_t attempts = 1; ///< Maximum number of targets that one request is sent to.
    bool isPublic = false; ///< Requests need no client account.
    bool hasAffinity = false; ///< Targets that recently served the same object respond faster.
    std::vector<RegionName> permittedRegions; ///< Empty: all.
    std::vector<ServiceWeight> services; ///< At least one; the sum of the weights is over 0.
};

/// A reference-counted route. Successive plans share the routes that did not change between them.
struct PlanRoute : boost::intrusive_ref_counter<PlanRoute, boost::thread_unsafe_counter> {
    explicit PlanRoute(Route value)
        : route(std::move(value))
    {
    }
    const Route route;
};
using RouteRef = boost::intrusive_ptr<const PlanRoute>;
[[nodiscard]] inline RouteRef makeRoute(Route route) { return {new PlanRoute(std::move(route))}; }

/// A service whose targets register themselves.
struct RoutedService {
    ServiceName name;
    std::string probePath; ///< Path of the target's health check (GET).
    uint32_t connections = 0; ///< Maximum number that a target accepts, from all hosts together.
    Duration slowStart {}; ///< How long a target stays slow after it starts under load.
    double slowStartPerSecond = 0; ///< Requests per second that a target can handle during its slow start.
};

/// Size and time limits for the requests of callers.
struct CallerLimits {
    uint64_t headerBytes = 16 * 1024;
    uint64_t bodyBytes = 64ull * 1024 * 1024;
    Duration headerTimeout = 3s;
    Duration idleTimeout = 15s;
};

struct RoutePlan {
    BundleVersion version;
    std::vector<RouteRef> routes;
    std::vector<RoutedService> services;
    CallerLimits limits;
    bool hasAccounts = false; ///< Routes that are not public require the key of a client account.
    std::vector<AccountRef> accounts;

    [[nodiscard]] const RoutedService* findService(const ServiceName& name) const;
};

/// Checks references, ranges and duplicates. Reports all findings in one pass, with `source` as the plan's name.
[[nodiscard]] Findings checkRoutePlan(const RoutePlan& plan, const std::string& source);
/// Which parts of a plan to check in addition to its services.
struct PlanCheckScope {
    std::span<const size_t> routes; ///< Indices into RoutePlan::routes.
    bool includesAccounts = true; ///< Always all of them, because any two may have the same key.
};
[[nodiscard]] Findings checkRoutePlan(const RoutePlan& plan, const PlanCheckScope& scope, const std::string& source);

} // namespace saltvane::model
