/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/registrycore.h"

#include <array>
#include <nlohmann/json.hpp>

/// The part of RegistryCore that starts, judges and reports rollouts.
namespace saltvane::registry {

namespace {

constexpr Duration DecisionInterval = 100ms;
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

/// Operators distinguish only whether a rollout is under way, and how it ended.
constexpr std::array<std::string_view, 4> PhaseTexts {"running", "running", "completed", "rolled_back"};

} // namespace

void RegistryCore::run(requests::HttpHandle handle, StartRolloutCall /*call*/, OpenCall& openCall, Timestamp now)
{
    Result<control::StartRollout, Findings> order = readRolloutOrder(openCall.body);
    if (!order)
        return answer(findingsAnswer(handle, order.error().items()));
    // Without proof that the plan is current, an unknown service may be in a newer plan: the leader decides.
    if (replica_->isLeader() && !planServices().contains(order.value().service)) {
        Findings findings;
        findings.add(
            {.location = {.source = "rollout"}, .field = "service", .message = "is not a service of the plan"});
        return answer(findingsAnswer(handle, findings.items()));
    }
    log(host::LogSeverity::Info,
        "event=rollout_order service=" + order.value().service.value() + " version=" + order.value().version.value()
            + " limit_s=" + std::to_string(toSeconds(order.value().timeLimit)));
    orders_.submit(handle, std::move(order.value()), now);
}

void RegistryCore::run(
    requests::HttpHandle handle, const RolloutStatusCall& call, OpenCall& /*openCall*/, Timestamp now)
{
    if (!replica_->isCurrent(now)) {
        counters_->add(model::Counter::NotCurrentAnswers);
        return answer(unavailableAnswer(handle, "no proof that the state of rollouts is current"));
    }
    const auto& rollouts = replica_->routing().rollouts;
    const auto found = rollouts.find(call.service);
    if (found == rollouts.end())
        return answer(errorAnswer(handle, StatusNotFound, "the service has no rollout"));
    const model::RolloutOrder& order = found->second;
    const nlohmann::json body {{"service", order.service.value()}, {"to_version", order.version.value()},
        {"state", PhaseTexts.at(static_cast<size_t>(order.phase))}, {"phase", model::toString(order.phase)}};
    answer(jsonAnswer(handle, StatusOk, body.dump()));
}

void RegistryCore::accept(const model::RolloutReport& report, Timestamp now)
{
    if (replica_->isLeader())
        return rollouts_->handle(report, now);
    if (!replica_->leaderHost().isEmpty() && syncedGateways_.contains(report.gateway))
        send({{.to = replica_->leaderHost(), .message = report}});
}

void RegistryCore::decideRollouts(Timestamp now)
{
    if (now < nextRolloutDecisionsAt_ || !replica_->isLeader())
        return;
    nextRolloutDecisionsAt_ = now + DecisionInterval;
    std::vector<HostId> inTouch;
    for (const HostLocation& gateway : gateways(now))
        inTouch.push_back(gateway.host);
    rollouts_->setGateways(std::move(inTouch));
    for (rollout::RolloutDecision& decision : rollouts_->decide(now)) {
        log(decision.phase == model::RolloutPhase::RolledBack ? host::LogSeverity::Warning : host::LogSeverity::Info,
            "event=rollout_decision service=" + decision.service.value() + " version=" + decision.version.value()
                + " phase=" + std::string(model::toString(decision.phase)) + " " + decision.reason);
        orders_.submit({},
            control::AdvanceRollout {.service = std::move(decision.service),
                .version = std::move(decision.version),
                .phase = decision.phase,
                .otherVersions = std::move(decision.otherVersions)},
            now);
    }
}

} // namespace saltvane::registry
