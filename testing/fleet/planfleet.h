/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "fleet.h"
#include "planledger.h"

#include <map>
#include <string>
#include <vector>

namespace saltvane::fleet::test {

/// A fleet whose plans move, remove and add routes. Each gateway gets a request on every route each 100 ms, and
/// PlanLedger compares what it does with the newest plan acknowledged.
class PlanFleet {
public:
    /// Returns once the first plan is in force and targets of each service are known in every zone.
    explicit PlanFleet(const FleetOptions& options = {});

    [[nodiscard]] Fleet& fleet() { return fleet_; }
    [[nodiscard]] registry::test::RegistryCluster& registries() { return fleet_.registries(); }
    [[nodiscard]] uint64_t version() const { return version_; }
    [[nodiscard]] size_t uses() const { return uses_.size(); }

    /// Sends the next plan to the leader, if there is one, and waits for the response. A plan without a response is
    /// sent again by the next call.
    void putPlan();
    void run(Duration duration);
    /// Gives hosts time to reconnect, from now on.
    void recordFault() { ledger_.recordFault(registries().now()); }
    [[nodiscard]] std::vector<std::string> findings() const { return ledger_.findings(uses_); }

private:
    void reportTargets();
    void useAllRoutes();

    Fleet fleet_;
    PlanLedger ledger_;
    std::vector<PlanUse> uses_;
    uint64_t version_ = 0;
    uint64_t sequence_ = 0;
    Timestamp nextReportAt_ {};
};

} // namespace saltvane::fleet::test
