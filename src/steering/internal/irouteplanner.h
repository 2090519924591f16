/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/deployment.h"
#include "steering/internal/fillorder.h"
#include "steering/internal/sharematrix.h"

#include <memory>
#include <span>
#include <vector>

namespace saltvane::steering {

/// Headroom of the links between regions, as requests in flight, while the services are planned one after another.
class LinkHeadroom {
public:
    explicit LinkHeadroom(const model::Deployment& deployment);
    [[nodiscard]] double available(RegionIndex from, RegionIndex to) const
    {
        return headroom_[from.value * regionCount_ + to.value];
    }
    void reserve(RegionIndex from, RegionIndex to, double requests)
    {
        headroom_[from.value * regionCount_ + to.value] -= requests;
    }

private:
    size_t regionCount_;
    std::vector<double> headroom_;
};

/// Input of the plan for one service; equal on every host.
struct PlanInput {
    const model::Deployment& deployment;
    const FillOrder& order;
    ServiceIndex service;
    std::span<const double>
        capacities; ///< By zone, scaled by the open share; 0 if the zone is closed or has no capacity.
    std::span<const double> demands; ///< Offered concurrency by client region.
};

/// Computes the planned shares of a service. There is one implementation for each objective of the bundle.
class IRoutePlanner {
public:
    virtual ~IRoutePlanner() = default;
    [[nodiscard]] virtual ShareMatrix plan(const PlanInput& input, LinkHeadroom& links) const = 0;
};

[[nodiscard]] std::unique_ptr<IRoutePlanner> makeRoutePlanner(model::Objective objective);

} // namespace saltvane::steering
