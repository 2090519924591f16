/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "rollout/internal/rolloutjudge.h"

#include <map>

namespace saltvane::rollout {

class RolloutController final : public IRolloutController {
public:
    void setOrders(std::span<const model::RolloutOrder> orders, Timestamp now) override;
    void setGateways(std::vector<HostId> gateways) override { gateways_ = std::move(gateways); }
    void handle(const model::RolloutReport& report, Timestamp now) override;
    [[nodiscard]] std::vector<RolloutDecision> decide(Timestamp now) override;
    [[nodiscard]] Duration timeLeft(const model::RolloutOrder& order, Timestamp now) const override;

private:
    std::map<ServiceName, RolloutJudge> judges_; ///< Of the rollouts that are under way.
    std::vector<HostId> gateways_;
};

} // namespace saltvane::rollout
