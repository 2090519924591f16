/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/bundletable.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <optional>
#include <string>
#include <type_traits>

namespace saltvane::control {

template <typename Kind>
constexpr bool IsRoutingCommand
    = std::is_same_v<Kind, ReplacePlan> || std::is_same_v<Kind, SetEvacuation> || std::is_same_v<Kind, RetireTarget>;

/// The route plan by compare-and-set, evacuated zones and retired targets. The log's order decides every race; a
/// request that was taken before gets its first answer again.
class RoutingTable {
public:
    [[nodiscard]] BundleOutcome apply(const ReplacePlan& command, LogPosition position);
    [[nodiscard]] BundleOutcome apply(const SetEvacuation& command, LogPosition position);
    [[nodiscard]] BundleOutcome apply(const RetireTarget& command, LogPosition position);

    /// The answer where the state alone gives it.
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const ReplacePlan& command) const;
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const SetEvacuation& command) const;
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const RetireTarget& command) const;

    [[nodiscard]] const RoutingState& state() const { return state_; }
    [[nodiscard]] nlohmann::json toJson() const;
    [[nodiscard]] static std::optional<RoutingTable> fromJson(const nlohmann::json& json);

private:
    struct TakenPlan {
        BundleVersion version;
        std::string digest;
    };

    [[nodiscard]] BundleRecord record(BundleVersion version) const;
    [[nodiscard]] bool wasTaken(const ReplacePlan& command) const;

    RoutingState state_;
    std::deque<TakenPlan> taken_; ///< Oldest first; resends are told by them.
};

} // namespace saltvane::control
