/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/rolloutmessages.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace saltvane::rollout {

/// A decision to move a rollout to a later phase.
struct RolloutDecision {
    ServiceName service;
    model::TargetVersion version;
    model::RolloutPhase phase = model::RolloutPhase::RolledBack;
    std::vector<model::TargetVersion> otherVersions; ///< All that gateways reported for the service.
    std::string reason; ///< For the log: the comparison, or what it waited for.
};

/// Judges the rollouts that are under way by the reports of all gateways, and decides when each moves to its next
/// phase. Used by the leader; a host that becomes leader has the counts of all gateways after their next reports.
/// docs/design/0019-rollouts.md
class IRolloutController {
public:
    virtual ~IRolloutController() = default;

    /// The latest rollout of each service, as committed.
    virtual void setOrders(std::span<const model::RolloutOrder> orders, Timestamp now) = 0;
    /// Gateways whose confirmation a rollout needs before it is completed.
    virtual void setGateways(std::vector<HostId> gateways) = 0;
    virtual void handle(const model::RolloutReport& report, Timestamp now) = 0;
    /// Decisions that are due. They are returned again until setOrders() shows that they were committed.
    [[nodiscard]] virtual std::vector<RolloutDecision> decide(Timestamp now) = 0;
    /// What is left of the rollout's time limit.
    [[nodiscard]] virtual Duration timeLeft(const model::RolloutOrder& order, Timestamp now) const = 0;
};

[[nodiscard]] std::unique_ptr<IRolloutController> makeRolloutController();

} // namespace saltvane::rollout
