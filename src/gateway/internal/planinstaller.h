/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/ibundlereplica.h"
#include "settings/routeplanreader.h"

#include <optional>

namespace saltvane::gateway {

/// Parses the plans that take effect at this gateway. A large plan is parsed in steps, one each tick, so that requests
/// are handled in between: in one step, 19,000 new routes would block a host with a tenth of a core for over a second.
class PlanInstaller {
public:
    using InForce = control::IBundleReplica::InForce;

    /// Starts with a plan; none may be pending.
    void start(InForce plan);
    [[nodiscard]] bool isPending() const { return plan_.has_value(); }
    /// Whether the pending plan is parsed in one step.
    [[nodiscard]] bool isSmall() const;
    /// Takes one step with the pending plan.
    void step();

    struct Parsed {
        InForce source;
        Result<model::RoutePlan, Findings> plan;
    };
    /// The plan, once it is parsed completely; then none is pending.
    [[nodiscard]] std::optional<Parsed> popParsed();
    /// Number of routes of the last plan that the one before did not have.
    [[nodiscard]] size_t newRoutes() const { return reader_.newRoutes(); }

private:
    enum class Stage { Unread, Reading, Read, Parsed };

    settings::RoutePlanReader reader_;
    std::optional<InForce> plan_; ///< The reader keeps a reference to its text.
    std::optional<Result<model::RoutePlan, Findings>> parsed_;
    Stage stage_ = Stage::Unread;
};

} // namespace saltvane::gateway
