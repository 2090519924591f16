/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/irouteplanner.h"

#include "steering/internal/headroomplanner.h"
#include "steering/internal/latencyplanner.h"

#include <limits>

namespace saltvane::steering {

LinkHeadroom::LinkHeadroom(const model::Deployment& deployment)
    : regionCount_(deployment.regionCount())
    , headroom_(regionCount_ * regionCount_, std::numeric_limits<double>::infinity())
{
    for (uint32_t from = 0; from < regionCount_; ++from) {
        for (uint32_t to = 0; to < regionCount_; ++to) {
            const auto limit = deployment.linkLimit({from}, {to});
            if (limit && from != to)
                headroom_[from * regionCount_ + to] = *limit;
        }
    }
}

std::unique_ptr<IRoutePlanner> makeRoutePlanner(model::Objective objective)
{
    if (objective == model::Objective::Headroom)
        return std::make_unique<HeadroomPlanner>();
    return std::make_unique<LatencyPlanner>();
}

} // namespace saltvane::steering
