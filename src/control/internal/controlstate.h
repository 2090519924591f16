/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/bundletable.h"
#include "control/internal/claimtable.h"
#include "control/internal/istatemachine.h"
#include "control/internal/routingtable.h"

#include <variant>
#include <vector>

namespace saltvane::control {

/// Outcome of an applied entry; empty for entries that answer no request.
struct AppliedEntry {
    LogPosition position;
    std::variant<std::monostate, BundleOutcome, ClaimOutcome> outcome;
};

/// The replicated state: bundles, claims, routing orders and replicas.
class ControlState final : public IStateMachine {
public:
    void apply(const model::LogEntry& entry) override;
    [[nodiscard]] std::string encodeSnapshot() const override;
    [[nodiscard]] std::optional<Configuration> configurationIn(std::string_view snapshot) const override;
    void install(std::string_view snapshot) override;
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> replicasIn(const model::LogEntry& entry) const override;

    [[nodiscard]] const BundleTable& bundles() const { return bundles_; }
    [[nodiscard]] const ClaimTable& claims() const { return claims_; }
    [[nodiscard]] const RoutingTable& routing() const { return routing_; }
    /// Entries applied since the last call, in log order, without those contained in an installed snapshot.
    [[nodiscard]] std::vector<AppliedEntry> drainApplied();

private:
    [[nodiscard]] static std::optional<ControlState> decode(std::string_view snapshot);

    BundleTable bundles_;
    ClaimTable claims_;
    RoutingTable routing_;
    Configuration configuration_;
    std::vector<AppliedEntry> applied_;
};

} // namespace saltvane::control
