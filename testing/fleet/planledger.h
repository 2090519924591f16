/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace saltvane::fleet::test {

/// The service of each route of a plan; a route that the plan doesn't have is missing.
using RouteServices = std::map<std::string, std::string>;

/// What a gateway did with a request.
struct PlanUse {
    Timestamp sentAt;
    std::string gateway;
    std::string route;
    std::string service; ///< Where it sent the request; empty: it said that there is no such route.
};

/// Holds every use of a plan to the newest one that was acknowledged.
class PlanLedger {
public:
    /// For the first time: from then on it may be in force.
    void noteSent(uint64_t version, Timestamp at, RouteServices routes)
    {
        plans_.try_emplace(version, Plan {.sentAt = at, .routes = std::move(routes)});
    }
    void noteAcknowledged(uint64_t version, Timestamp at) { acknowledged_[at] = version; }
    /// Something ended between hosts that are all still there, or came back: they have InTouchAfter to find each other.
    void noteFault(Timestamp at) { faults_.push_back(at); }

    /// One for each use that no plan allows that is as new as it has to be. A newer plan that was sent by then,
    /// acknowledged or not, may be in force already.
    [[nodiscard]] std::vector<std::string> findings(std::span<const PlanUse> uses) const;

private:
    [[nodiscard]] uint64_t due(Timestamp at) const;

    /// The users' bounds: of the three deployments the shortest ones.
    static constexpr Duration InForceAfter = 2s;
    static constexpr Duration InTouchAfter = 3s;

    struct Plan {
        Timestamp sentAt;
        RouteServices routes;
    };

    std::map<uint64_t, Plan> plans_; ///< By version.
    std::map<Timestamp, uint64_t> acknowledged_;
    std::vector<Timestamp> faults_;
};

} // namespace saltvane::fleet::test
