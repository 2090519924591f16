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
    = std::is_same_v<Kind,
          ReplacePlan> || std::is_same_v<Kind, SetEvacuation> || std::is_same_v<Kind, RetireTarget> || std::is_same_v<Kind, StartRollout> || std::is_same_v<Kind, AdvanceRollout>;

/// What the routing state in a snapshot contains; earlier software versions wrote less.
enum class RoutingFormat { WithoutRollouts, WithRollouts, WithReopenedZones, WithRetirements };

/// Replicated routing state: the route plan, replaced by compare-and-set, evacuated zones, retired targets and
/// rollouts. The order of the log resolves all races. A resend of an accepted request gets the first answer.
class RoutingTable {
public:
    [[nodiscard]] BundleOutcome apply(const ReplacePlan& command, LogPosition position);
    [[nodiscard]] BundleOutcome apply(const SetEvacuation& command, LogPosition position);
    [[nodiscard]] BundleOutcome apply(const RetireTarget& command, LogPosition position);
    [[nodiscard]] BundleOutcome apply(const StartRollout& command, LogPosition position);
    [[nodiscard]] BundleOutcome apply(const AdvanceRollout& command, LogPosition position);

    /// The answer if it follows from the state alone.
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const ReplacePlan& command) const;
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const SetEvacuation& command) const;
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const RetireTarget& command) const;
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const StartRollout& command) const;
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const AdvanceRollout& command) const;

    [[nodiscard]] const RoutingState& state() const { return state_; }
    [[nodiscard]] nlohmann::json toJson() const;
    [[nodiscard]] static std::optional<RoutingTable> fromJson(
        const nlohmann::json& json, RoutingFormat format = RoutingFormat::WithRetirements);

private:
    struct AcceptedPlan {
        BundleVersion version;
        std::string digest;
    };

    [[nodiscard]] BundleRecord record(BundleVersion version) const;
    [[nodiscard]] bool wasAccepted(const ReplacePlan& command) const;

    RoutingState state_;
    std::deque<AcceptedPlan> acceptedPlans_; ///< Oldest first; used to recognize resends.
};

} // namespace saltvane::control
