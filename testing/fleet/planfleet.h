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

/// A fleet whose plans move, drop and add routes; each gateway gets a request on every route each 100 ms, and what it
/// does with it is held to the newest plan acknowledged.
class PlanFleet {
public:
    /// With its first plan in force and targets of each service in every zone.
    explicit PlanFleet(const FleetOptions& options = {});

    [[nodiscard]] Fleet& fleet() { return fleet_; }
    [[nodiscard]] registry::test::RegistryCluster& registries() { return fleet_.registries(); }
    [[nodiscard]] uint64_t version() const { return version_; }
    [[nodiscard]] size_t uses() const { return uses_.size(); }

    /// Sends the next plan to a leader, if there is one, and waits for its answer. One without an answer is sent again
    /// by the next call.
    void putPlan();
    void run(Duration duration);
    /// Hosts have time from now on to find each other again.
    void noteFault() { ledger_.noteFault(registries().now()); }
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
