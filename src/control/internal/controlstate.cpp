/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/controlstate.h"

#include "control/internal/cbordocument.h"
#include "control/internal/commandcodec.h"
#include "control/internal/fieldreader.h"
#include "control/internal/replicacodec.h"

#include <type_traits>
#include <utility>

namespace saltvane::control {

namespace {
constexpr uint64_t SnapshotFormat = 5;
constexpr size_t SnapshotFieldCount = 7;
/// Written by earlier software versions; still readable.
constexpr uint64_t SnapshotFormatWithoutRetirements = 4;
constexpr uint64_t SnapshotFormatWithoutReopenedZones = 3;
constexpr uint64_t SnapshotFormatWithoutRollouts = 2;
/// Written by earlier software versions, without routing state; still readable.
constexpr uint64_t LegacySnapshotFormat = 1;
constexpr size_t LegacySnapshotFieldCount = 6;

/// No value: the format is unknown.
std::optional<RoutingFormat> routingFormatOf(uint64_t snapshotFormat)
{
    switch (snapshotFormat) {
    case SnapshotFormatWithoutRollouts:
        return RoutingFormat::WithoutRollouts;
    case SnapshotFormatWithoutReopenedZones:
        return RoutingFormat::WithRollouts;
    case SnapshotFormatWithoutRetirements:
        return RoutingFormat::WithReopenedZones;
    case SnapshotFormat:
        return RoutingFormat::WithRetirements;
    default:
        return std::nullopt;
    }
}

} // namespace

void ControlState::apply(const model::LogEntry& entry)
{
    AppliedEntry applied {.position = {.term = entry.term, .index = entry.index}, .outcome = {}};
    const Result<Command, CodecError> command = decodeCommand(entry.payload);
    if (command) {
        std::visit(
            [&](const auto& kind) {
                using Kind = std::decay_t<decltype(kind)>;
                if constexpr (std::is_same_v<Kind, ClaimKey>)
                    applied.outcome = claims_.apply(kind);
                else if constexpr (std::is_same_v<Kind, ChangeReplicas>)
                    configuration_ = {.index = entry.index, .replicas = kind.replicas};
                else if constexpr (IsRoutingCommand<Kind>)
                    applied.outcome = routing_.apply(kind, applied.position);
                else if constexpr (!std::is_same_v<Kind, NoOperation>)
                    applied.outcome = bundles_.apply(kind, applied.position);
            },
            command.value());
    }
    applied_.push_back(std::move(applied));
}

std::vector<AppliedEntry> ControlState::drainApplied() { return std::exchange(applied_, {}); }

std::optional<std::vector<ReplicaInfo>> ControlState::replicasIn(const model::LogEntry& entry) const
{
    std::optional<ChangeReplicas> change = decodeReplicaChange(entry.payload);
    if (!change)
        return std::nullopt;
    return std::move(change->replicas);
}

std::string ControlState::encodeSnapshot() const
{
    return encodeCbor({{"format", SnapshotFormat}, {"bundles", bundles_.toJson()}, {"claims", claims_.toJson()},
        {"claimClock", claims_.clock()}, {"replicas", replicasToJson(configuration_.replicas)},
        {"replicasIndex", configuration_.index.value}, {"routing", routing_.toJson()}});
}

std::optional<ControlState> ControlState::decode(std::string_view snapshot)
{
    const std::optional<nlohmann::json> json = decodeCbor(snapshot);
    if (!json)
        return std::nullopt;
    uint64_t format = 0;
    int64_t clock = 0;
    ControlState state;
    const bool hasRouting = json->is_object() && json->contains("routing");
    FieldReader reader(*json, hasRouting ? SnapshotFieldCount : LegacySnapshotFieldCount);
    reader.read("format", format).read("claimClock", clock).read("replicasIndex", state.configuration_.index);
    std::optional<BundleTable> bundles = BundleTable::fromJson(reader.array("bundles"));
    std::optional<ClaimTable> claims = ClaimTable::fromJson(reader.array("claims"), clock);
    std::optional<std::vector<ReplicaInfo>> replicas = replicasFromJson(reader.array("replicas"));
    const std::optional<RoutingFormat> routingFormat = routingFormatOf(format);
    const bool isKnownFormat = hasRouting ? routingFormat.has_value() : format == LegacySnapshotFormat;
    if (!reader.isOk() || !isKnownFormat)
        return std::nullopt;
    std::optional<RoutingTable> routing
        = hasRouting ? RoutingTable::fromJson(json->at("routing"), *routingFormat) : RoutingTable {};
    if (!bundles || !claims || !replicas || !routing)
        return std::nullopt;
    state.routing_ = *std::move(routing);
    state.bundles_ = *std::move(bundles);
    state.claims_ = *std::move(claims);
    state.configuration_.replicas = *std::move(replicas);
    return state;
}

std::optional<Configuration> ControlState::configurationIn(std::string_view snapshot) const
{
    std::optional<ControlState> state = decode(snapshot);
    if (!state)
        return std::nullopt;
    return std::move(state->configuration_);
}

void ControlState::install(std::string_view snapshot)
{
    std::optional<ControlState> state = decode(snapshot);
    if (!state)
        return;
    bundles_ = std::move(state->bundles_);
    claims_ = std::move(state->claims_);
    routing_ = std::move(state->routing_);
    configuration_ = std::move(state->configuration_);
}

} // namespace saltvane::control
