/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/routingtable.h"

#include "control/icontrolreplica.h"
#include "control/internal/fieldreader.h"

#include <algorithm>
#include <array>
#include <utility>

namespace saltvane::control {

namespace {

using Json = nlohmann::json;

/// Two days of changes at the expected rate (2,500 a day).
constexpr size_t MaxPlanDigests = 5000;
/// Numbers of fields, by RoutingFormat.
constexpr std::array<size_t, 4> RoutingFieldCounts {9, 10, 11, 12};
constexpr size_t MaxRollouts = 1024; ///< One a service.
/// Versions that get no requests any more, by service; the oldest are dropped.
constexpr size_t MaxExcludedVersions = 16;

ControlError errorOf(ControlErrorKind kind, std::string message)
{
    return {.kind = kind, .message = std::move(message), .leader = {}, .findings = {}};
}

/// Snapshots of earlier software versions contain only ids; the incarnations are unknown.
std::optional<model::TargetIncarnation> retiredFromJson(const Json& json)
{
    if (json.is_string())
        return model::TargetIncarnation {.target = TargetId(json.get<std::string>())};
    model::TargetIncarnation retired;
    FieldReader fields(json, 2);
    fields.read("target", retired.target).read("incarnation", retired.incarnation);
    if (!fields.isOk())
        return std::nullopt;
    return retired;
}

Json rolloutToJson(const model::RolloutOrder& order)
{
    Json excluded = Json::array();
    for (const model::TargetVersion& version : order.excluded)
        excluded.push_back(version.value());
    return {{"service", order.service.value()}, {"version", order.version.value()},
        {"phase", static_cast<uint64_t>(order.phase)},
        {"limitMs", std::chrono::round<std::chrono::milliseconds>(order.timeLimit).count()},
        {"excluded", std::move(excluded)}};
}

std::optional<model::RolloutOrder> rolloutFromJson(const Json& json)
{
    model::RolloutOrder order;
    uint64_t phase = 0;
    int64_t milliseconds = 0;
    FieldReader fields(json, 5);
    fields.read("service", order.service).read("version", order.version).read("phase", phase);
    fields.read("limitMs", milliseconds);
    for (const Json& version : fields.array("excluded")) {
        if (!version.is_string())
            return std::nullopt;
        order.excluded.emplace_back(version.get<std::string>());
    }
    if (!fields.isOk() || phase > static_cast<uint64_t>(model::RolloutPhase::RolledBack))
        return std::nullopt;
    order.phase = static_cast<model::RolloutPhase>(phase);
    order.timeLimit = std::chrono::milliseconds(milliseconds);
    return order;
}

void exclude(std::vector<model::TargetVersion>& excluded, const model::TargetVersion& version)
{
    std::erase(excluded, version);
    excluded.push_back(version);
    if (excluded.size() > MaxExcludedVersions)
        excluded.erase(excluded.begin());
}

} // namespace

BundleRecord RoutingTable::record(BundleVersion version) const
{
    return {.version = version, .state = BundleState::InForce, .approved = state_.planPosition};
}

bool RoutingTable::wasAccepted(const ReplacePlan& command) const
{
    const auto isOfVersion = [&](const AcceptedPlan& plan) { return plan.version == command.version; };
    if (std::ranges::none_of(acceptedPlans_, isOfVersion))
        return false;
    const std::string digest = contentDigest(command.content);
    return std::ranges::any_of(
        acceptedPlans_, [&](const AcceptedPlan& plan) { return isOfVersion(plan) && plan.digest == digest; });
}

std::optional<BundleOutcome> RoutingTable::answerFor(const ReplacePlan& command) const
{
    if (wasAccepted(command))
        return record(command.version);
    if (command.base != state_.planVersion)
        return errorOf(ControlErrorKind::Conflict,
            "version " + std::to_string(state_.planVersion.value) + " is in force, but the change is based on "
                + std::to_string(command.base.value));
    if (command.version <= state_.planVersion)
        return errorOf(ControlErrorKind::Invalid,
            "version must be higher than " + std::to_string(state_.planVersion.value) + ", which is in force");
    return std::nullopt;
}

std::optional<BundleOutcome> RoutingTable::answerFor(const SetEvacuation& command) const
{
    if (state_.evacuatedZones.contains(command.zone) == command.isEvacuated)
        return record(state_.planVersion);
    return std::nullopt;
}

std::optional<BundleOutcome> RoutingTable::answerFor(const RetireTarget& command) const
{
    if (state_.retiredTargets.covers({.target = command.target, .incarnation = command.incarnation}))
        return record(state_.planVersion);
    return std::nullopt;
}

/// A repeated order has the same answer whatever its rollout has come to, so that a resend after a lost answer is never
/// refused. A version that was rolled back therefore needs a new name to be rolled out again.
std::optional<BundleOutcome> RoutingTable::answerFor(const StartRollout& command) const
{
    const auto known = state_.rollouts.find(command.service);
    if (known == state_.rollouts.end()) {
        if (state_.rollouts.size() >= MaxRollouts)
            return errorOf(ControlErrorKind::Invalid, "too many services have rollouts");
        return std::nullopt;
    }
    if (known->second.version == command.version)
        return record(state_.planVersion);
    if (isUnderWay(known->second.phase))
        return errorOf(
            ControlErrorKind::UnderWay, "the rollout of version " + known->second.version.value() + " is under way");
    return std::nullopt;
}

/// Phases only advance. An order for a rollout that has ended or was replaced has no effect.
std::optional<BundleOutcome> RoutingTable::answerFor(const AdvanceRollout& command) const
{
    const auto known = state_.rollouts.find(command.service);
    const bool isKnown = known != state_.rollouts.end() && known->second.version == command.version;
    if (isKnown && isUnderWay(known->second.phase) && command.phase > known->second.phase)
        return std::nullopt;
    return record(state_.planVersion);
}

BundleOutcome RoutingTable::apply(const ReplacePlan& command, LogPosition position)
{
    if (std::optional<BundleOutcome> known = answerFor(command))
        return *std::move(known);
    state_.planVersion = command.version;
    state_.planContent = command.content;
    state_.planPosition = position;
    acceptedPlans_.push_back({.version = command.version, .digest = contentDigest(command.content)});
    if (acceptedPlans_.size() > MaxPlanDigests)
        acceptedPlans_.pop_front();
    return record(command.version);
}

BundleOutcome RoutingTable::apply(const SetEvacuation& command, LogPosition position)
{
    if (std::optional<BundleOutcome> known = answerFor(command))
        return *std::move(known);
    if (command.isEvacuated)
        state_.evacuatedZones.insert(command.zone);
    else
        state_.evacuatedZones.erase(command.zone);
    if (command.isEvacuated)
        state_.reopenedZones.erase(command.zone);
    else
        state_.reopenedZones.insert_or_assign(command.zone, position);
    state_.ordersPosition = position;
    return record(state_.planVersion);
}

BundleOutcome RoutingTable::apply(const RetireTarget& command, LogPosition position)
{
    if (std::optional<BundleOutcome> known = answerFor(command))
        return *std::move(known);
    state_.retiredTargets.record({.target = command.target, .incarnation = command.incarnation});
    ++state_.retirements;
    state_.ordersPosition = position;
    return record(state_.planVersion);
}

BundleOutcome RoutingTable::apply(const StartRollout& command, LogPosition position)
{
    if (std::optional<BundleOutcome> known = answerFor(command))
        return *std::move(known);
    model::RolloutOrder& order = state_.rollouts[command.service];
    order.service = command.service;
    order.version = command.version;
    order.phase = model::RolloutPhase::Trial;
    order.timeLimit = command.timeLimit;
    std::erase(order.excluded, command.version);
    state_.ordersPosition = position;
    return record(state_.planVersion);
}

BundleOutcome RoutingTable::apply(const AdvanceRollout& command, LogPosition position)
{
    if (std::optional<BundleOutcome> known = answerFor(command))
        return *std::move(known);
    model::RolloutOrder& order = state_.rollouts[command.service];
    order.phase = command.phase;
    if (command.phase == model::RolloutPhase::RolledBack)
        exclude(order.excluded, order.version);
    if (command.phase == model::RolloutPhase::Completed) {
        for (const model::TargetVersion& version : command.otherVersions)
            exclude(order.excluded, version);
        std::erase(order.excluded, order.version);
    }
    state_.ordersPosition = position;
    return record(state_.planVersion);
}

Json RoutingTable::toJson() const
{
    Json zones = Json::array();
    for (const ZoneName& zone : state_.evacuatedZones)
        zones.push_back(zone.value());
    Json targets = Json::array();
    for (const model::TargetIncarnation& retired : state_.retiredTargets.inOrder())
        targets.push_back({{"target", retired.target.value()}, {"incarnation", retired.incarnation.value}});
    Json taken = Json::array();
    for (const AcceptedPlan& plan : acceptedPlans_)
        taken.push_back({{"version", plan.version.value}, {"digest", plan.digest}});
    Json rollouts = Json::array();
    for (const auto& [service, order] : state_.rollouts)
        rollouts.push_back(rolloutToJson(order));
    Json reopened = Json::array();
    for (const auto& [zone, position] : state_.reopenedZones)
        reopened.push_back({{"zone", zone.value()}, {"term", position.term.value}, {"index", position.index.value}});
    return {{"version", state_.planVersion.value}, {"content", state_.planContent},
        {"planTerm", state_.planPosition.term.value}, {"planIndex", state_.planPosition.index.value},
        {"ordersTerm", state_.ordersPosition.term.value}, {"ordersIndex", state_.ordersPosition.index.value},
        {"evacuated", std::move(zones)}, {"retired", std::move(targets)}, {"taken", std::move(taken)},
        {"rollouts", std::move(rollouts)}, {"reopened", std::move(reopened)}, {"retirements", state_.retirements}};
}

std::optional<RoutingTable> RoutingTable::fromJson(const Json& json, RoutingFormat format)
{
    RoutingTable table;
    RoutingState& state = table.state_;
    FieldReader reader(json, RoutingFieldCounts.at(static_cast<size_t>(format)));
    reader.read("version", state.planVersion).read("content", state.planContent);
    reader.read("planTerm", state.planPosition.term).read("planIndex", state.planPosition.index);
    reader.read("ordersTerm", state.ordersPosition.term).read("ordersIndex", state.ordersPosition.index);
    for (const Json& zone : reader.array("evacuated")) {
        if (!zone.is_string())
            return std::nullopt;
        state.evacuatedZones.emplace(zone.get<std::string>());
    }
    for (const Json& item : reader.array("retired")) {
        std::optional<model::TargetIncarnation> retired = retiredFromJson(item);
        if (!retired)
            return std::nullopt;
        state.retiredTargets.record(*retired);
    }
    for (const Json& item : reader.array("taken")) {
        AcceptedPlan plan;
        FieldReader fields(item, 2);
        fields.read("version", plan.version).read("digest", plan.digest);
        if (!fields.isOk())
            return std::nullopt;
        table.acceptedPlans_.push_back(std::move(plan));
    }
    if (format >= RoutingFormat::WithRollouts) {
        for (const Json& item : reader.array("rollouts")) {
            std::optional<model::RolloutOrder> order = rolloutFromJson(item);
            if (!order)
                return std::nullopt;
            state.rollouts.insert_or_assign(order->service, *order);
        }
    }
    if (format >= RoutingFormat::WithReopenedZones) {
        for (const Json& item : reader.array("reopened")) {
            ZoneName zone;
            LogPosition position;
            FieldReader fields(item, 3);
            fields.read("zone", zone).read("term", position.term).read("index", position.index);
            if (!fields.isOk())
                return std::nullopt;
            state.reopenedZones.insert_or_assign(zone, position);
        }
    }
    state.retirements = state.retiredTargets.inOrder().size();
    if (format >= RoutingFormat::WithRetirements)
        reader.read("retirements", state.retirements);
    if (!reader.isOk())
        return std::nullopt;
    return table;
}

} // namespace saltvane::control
