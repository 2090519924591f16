/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/isteering.h"

#include <algorithm>
#include <optional>

namespace saltvane::requests {

/// Sends each request to the first zone that has credit and isn't excluded.
class FakeSteering final : public steering::ISteering {
public:
    void install(model::DeploymentPtr deployment, Timestamp) override { deployment_ = std::move(deployment); }
    void adoptRows(std::span<const model::RouteRow>, Timestamp) override { }
    void update(std::span<const steering::ZoneRoom>, std::span<const steering::RegionDemand>, Timestamp) override { }
    void setFrozen(bool, Timestamp) override { }
    void tick(Timestamp) override { }
    [[nodiscard]] Result<steering::Choice, steering::Refusal> choose(
        const steering::ChoiceQuery& query, const steering::ICreditView& credits, Timestamp) override
    {
        lastIsRetry = query.isRetry;
        lastRowZone = query.rowZone;
        if (refusal)
            return *refusal;
        for (uint32_t index = 0; index < deployment_->zoneCount(); ++index) {
            const ZoneIndex zone {index};
            const bool isExcluded
                = std::find(query.excludedZones.begin(), query.excludedZones.end(), zone) != query.excludedZones.end();
            if (!isExcluded && credits.hasCredit(query.service, zone))
                return steering::Choice {.zone = zone};
        }
        return steering::Refusal {.reason = model::Reason::NoRoom, .retryAfter = 1500ms};
    }
    [[nodiscard]] std::vector<ZoneIndex> entryZones(ServiceIndex, RegionIndex) const override
    {
        return {ZoneIndex {0}, ZoneIndex {1}};
    }
    [[nodiscard]] Duration entryTtl(ServiceIndex) const override { return 30s; }
    [[nodiscard]] std::vector<model::RouteRow> rows() const override { return {}; }
    [[nodiscard]] double shiftProgress(ServiceIndex) const override { return 1; }
    [[nodiscard]] std::vector<steering::RegionDemand> ownDemand() const override { return {}; }
    void recordRequestCompletion(ServiceIndex, RegionIndex, Duration, Timestamp) override { ++requestsEnded; }

    std::optional<steering::Refusal> refusal;
    bool lastIsRetry = false;
    std::optional<ZoneIndex> lastRowZone;
    int requestsEnded = 0;

private:
    model::DeploymentPtr deployment_;
};

} // namespace saltvane::requests
