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

/// The route plan: which service answers a host name and path, and on what terms (docs/ROUTES.md). Operators replace
/// it whole; services of a plan have targets that announce themselves to the registry.
namespace saltvane::model {

using RouteName = Name<struct RouteNameTag>;

/// How often a request of a route may run.
enum class RouteKind {
    Repeatable, ///< Any number of times.
    AtMostOnce, ///< Never twice, whatever is lost on the way.
    LargeRead, ///< Repeatable, with answers large enough to weigh on links.
};
[[nodiscard]] std::string_view toString(RouteKind kind);

/// A share of a route's requests, relative to the other shares of the route.
struct ServiceWeight {
    ServiceName service;
    double weight = 0;
};

struct Route {
    RouteName name;
    std::string host; ///< Of the Host header, without a port; compared without case.
    std::string pathPrefix; ///< Begins and ends with a slash; the longest that matches decides.
    RouteKind kind = RouteKind::Repeatable;
    Duration timeout {}; ///< Longest time a request is held.
    Duration objective {}; ///< Answers within it earn the route's full value.
    uint32_t rank = 0; ///< 0 is the most urgent.
    uint32_t attempts = 1; ///< Most targets that one request is sent to.
    bool isPublic = false; ///< Needs no client account.
    bool hasAffinity = false; ///< Targets that lately served the same object answer faster.
    std::vector<RegionName> permittedRegions; ///< Empty: all.
    std::vector<ServiceWeight> services; ///< At least one; the weights' sum is over 0.
};

/// A route as plans share it: plans that follow each other hold the same one where it did not change.
struct PlanRoute : boost::intrusive_ref_counter<PlanRoute, boost::thread_unsafe_counter> {
    explicit PlanRoute(Route given)
        : route(std::move(given))
    {
    }
    const Route route;
};
using RouteRef = boost::intrusive_ptr<const PlanRoute>;
[[nodiscard]] inline RouteRef makeRoute(Route route) { return {new PlanRoute(std::move(route))}; }

/// A service whose targets announce themselves.
struct RoutedService {
    ServiceName name;
    std::string probePath; ///< Answers GET with the target's health.
    uint32_t connections = 0; ///< Most a target accepts, from all hosts.
    Duration slowStart {}; ///< How long a target that started under load stays slow.
    double slowStartPerSecond = 0; ///< Requests a second that a target bears meanwhile.
};

/// What callers may send, and how long they may take.
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
    bool hasAccounts = false; ///< Routes that are not public ask for the key of an account.
    std::vector<AccountRef> accounts;

    [[nodiscard]] const RoutedService* findService(const ServiceName& name) const;
};

/// Checks references, ranges and duplicates; finds everything wrong in one pass. `source` names the plan.
[[nodiscard]] Findings checkRoutePlan(const RoutePlan& plan, const std::string& source);
/// Which parts of a plan to check, beside its services.
struct PlanCheckScope {
    std::span<const size_t> routes; ///< Positions.
    bool areAccountsChecked = true; ///< All of them: any two may hold one key.
};
[[nodiscard]] Findings checkRoutePlan(const RoutePlan& plan, const PlanCheckScope& scope, const std::string& source);

} // namespace saltvane::model
