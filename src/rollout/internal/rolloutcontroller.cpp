/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "rollout/internal/rolloutcontroller.h"

namespace saltvane::rollout {

void RolloutController::setOrders(std::span<const model::RolloutOrder> orders, Timestamp now)
{
    std::map<ServiceName, RolloutJudge> former = std::exchange(judges_, {});
    for (const model::RolloutOrder& order : orders) {
        if (!isUnderWay(order.phase))
            continue;
        auto known = former.extract(order.service);
        const bool isSame = !known.empty() && known.mapped().order().version == order.version;
        if (isSame)
            judges_.insert(std::move(known));
        RolloutJudge& judge = judges_.try_emplace(order.service, order, now).first->second;
        judge.setPhase(order.phase);
    }
}

void RolloutController::handle(const model::RolloutReport& report, Timestamp /*now*/)
{
    const auto found = judges_.find(report.service);
    if (found != judges_.end() && found->second.order().version == report.version)
        found->second.handle(report);
}

std::vector<RolloutDecision> RolloutController::decide(Timestamp now)
{
    std::vector<RolloutDecision> decisions;
    for (const auto& [service, judge] : judges_) {
        if (std::optional<RolloutDecision> decision = judge.decide(gateways_, now))
            decisions.push_back(*std::move(decision));
    }
    return decisions;
}

Duration RolloutController::timeLeft(const model::RolloutOrder& order, Timestamp now) const
{
    const auto found = judges_.find(order.service);
    return found == judges_.end() ? Duration::zero() : found->second.timeLeft(now);
}

std::unique_ptr<IRolloutController> makeRolloutController() { return std::make_unique<RolloutController>(); }

} // namespace saltvane::rollout
