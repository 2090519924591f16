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

/// The service of each route of a plan; routes that the plan does not have are absent.
using RouteServices = std::map<std::string, std::string>;

/// What a gateway did with a request, and thus which plan it may have used.
struct PlanUse {
    Timestamp sentAt;
    std::string gateway;
    std::string route;
    std::string service; ///< Service that got the request; empty if the gateway responded that there is no such route.
};

/// Checks that gateways use no plan that was replaced longer ago than the users' bounds allow.
class PlanLedger {
public:
    /// Records when a plan was first sent; it may be in force from then on.
    void recordSent(uint64_t version, Timestamp at, RouteServices routes)
    {
        plans_.try_emplace(version, Plan {.sentAt = at, .routes = std::move(routes)});
    }
    void recordAcknowledged(uint64_t version, Timestamp at) { acknowledged_[at] = version; }
    /// Records a fault of hosts or links, or its end: hosts have ReconnectTimeout to reconnect.
    void recordFault(Timestamp at) { faults_.push_back(at); }

    /// Returns a finding for each use that no sufficiently new plan explains. A newer plan that was sent by then may be
    /// in force already, whether it was acknowledged or not.
    [[nodiscard]] std::vector<std::string> findings(std::span<const PlanUse> uses) const;

private:
    /// The oldest version that may still be in use.
    [[nodiscard]] uint64_t requiredVersion(Timestamp at) const;

    /// The users' bounds; the shortest ones of the three deployments.
    static constexpr Duration InForceTimeout = 2s;
    static constexpr Duration ReconnectTimeout = 3s;

    struct Plan {
        Timestamp sentAt;
        RouteServices routes;
    };

    std::map<uint64_t, Plan> plans_; ///< By version.
    std::map<Timestamp, uint64_t> acknowledged_;
    std::vector<Timestamp> faults_;
};

} // namespace saltvane::fleet::test
