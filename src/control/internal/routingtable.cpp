/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/routingtable.h"

#include "control/icontrolreplica.h"
#include "control/internal/fieldreader.h"

#include <algorithm>
#include <utility>

namespace saltvane::control {

namespace {

using Json = nlohmann::json;

/// Two days of changes at the expected rate (2,500 a day).
constexpr size_t MaxPlanDigests = 5000;
constexpr size_t RoutingFieldCount = 9;

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
    if (state_.retiredTargets.contains({.target = command.target, .incarnation = command.incarnation}))
        return record(state_.planVersion);
    return std::nullopt;
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
    state_.ordersPosition = position;
    return record(state_.planVersion);
}

BundleOutcome RoutingTable::apply(const RetireTarget& command, LogPosition position)
{
    if (std::optional<BundleOutcome> known = answerFor(command))
        return *std::move(known);
    state_.retiredTargets.record({.target = command.target, .incarnation = command.incarnation});
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
    return {{"version", state_.planVersion.value}, {"content", state_.planContent},
        {"planTerm", state_.planPosition.term.value}, {"planIndex", state_.planPosition.index.value},
        {"ordersTerm", state_.ordersPosition.term.value}, {"ordersIndex", state_.ordersPosition.index.value},
        {"evacuated", std::move(zones)}, {"retired", std::move(targets)}, {"taken", std::move(taken)}};
}

std::optional<RoutingTable> RoutingTable::fromJson(const Json& json)
{
    RoutingTable table;
    RoutingState& state = table.state_;
    FieldReader reader(json, RoutingFieldCount);
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
    if (!reader.isOk())
        return std::nullopt;
    return table;
}

} // namespace saltvane::control
