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

uint64_t PlanLedger::due(Timestamp at) const
{
    // Nothing newer than what was due when the last fault struck, while hosts find each other again.
    Timestamp heldAt = at;
    for (auto fault = faults_.rbegin(); fault != faults_.rend(); ++fault) {
        if (*fault <= heldAt && heldAt < *fault + InTouchAfter)
            heldAt = *fault;
    }
    uint64_t newest = 0;
    for (const auto& [acknowledgedAt, version] : acknowledged_) {
        if (acknowledgedAt + InForceAfter < heldAt)
            newest = std::max(newest, version);
    }
    return newest;
}

std::vector<std::string> PlanLedger::findings(std::span<const PlanUse> uses) const
{
    std::vector<std::string> findings;
    for (const PlanUse& use : uses) {
        const uint64_t due = this->due(use.sentAt);
        const bool isAllowed = due == 0 || std::any_of(plans_.lower_bound(due), plans_.end(), [&](const auto& plan) {
            return plan.second.sentAt <= use.sentAt && allows(plan.second.routes, use);
        });
        if (!isAllowed)
            findings.push_back(use.gateway + " used " + (use.service.empty() ? "no service" : use.service) + " for "
                + use.route + " at " + std::to_string(toSeconds(use.sentAt.time_since_epoch()))
                + " s, which only a plan before " + std::to_string(due) + " allows");
    }
    return findings;
}

} // namespace saltvane::fleet::test
