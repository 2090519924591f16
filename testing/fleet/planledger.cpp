/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "planledger.h"

#include <algorithm>

namespace saltvane::fleet::test {

namespace {

bool allows(const RouteServices& plan, const PlanUse& use)
{
    const auto found = plan.find(use.route);
    return found == plan.end() ? use.service.empty() : found->second == use.service;
}

} // namespace

uint64_t PlanLedger::requiredVersion(Timestamp at) const
{
    // While hosts reconnect after a fault, only the version that was required when the fault began is required.
    Timestamp effectiveAt = at;
    for (auto fault = faults_.rbegin(); fault != faults_.rend(); ++fault) {
        if (*fault <= effectiveAt && effectiveAt < *fault + ReconnectTimeout)
            effectiveAt = *fault;
    }
    uint64_t newest = 0;
    for (const auto& [acknowledgedAt, version] : acknowledged_) {
        if (acknowledgedAt + InForceTimeout < effectiveAt)
            newest = std::max(newest, version);
    }
    return newest;
}

std::vector<std::string> PlanLedger::findings(std::span<const PlanUse> uses) const
{
    std::vector<std::string> findings;
    for (const PlanUse& use : uses) {
        const uint64_t requiredVersion = this->requiredVersion(use.sentAt);
        const bool isAllowed = requiredVersion == 0
            || std::any_of(plans_.lower_bound(requiredVersion), plans_.end(),
                [&](const auto& plan) { return plan.second.sentAt <= use.sentAt && allows(plan.second.routes, use); });
        if (!isAllowed)
            findings.push_back(use.gateway + " used " + (use.service.empty() ? "no service" : use.service) + " for "
                + use.route + " at " + std::to_string(toSeconds(use.sentAt.time_since_epoch()))
                + " s, which only a plan before " + std::to_string(requiredVersion) + " allows");
    }
    return findings;
}

} // namespace saltvane::fleet::test
