/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "rollout/internal/badanswertest.h"
#include "rollout/irolloutcontroller.h"

#include <map>
#include <optional>
#include <set>

namespace saltvane::rollout {

/// One rollout that is under way, as judged by the reports of gateways. The cost of a report depends on the routes in
/// it.
class RolloutJudge {
public:
    RolloutJudge(const model::RolloutOrder& order, Timestamp startedAt)
        : order_(order)
        , startedAt_(startedAt)
    {
    }

    void setPhase(model::RolloutPhase phase);
    void handle(const model::RolloutReport& report);
    [[nodiscard]] std::optional<RolloutDecision> decide(std::span<const HostId> gateways, Timestamp now) const;
    [[nodiscard]] Duration timeLeft(Timestamp now) const;
    [[nodiscard]] const model::RolloutOrder& order() const { return order_; }

private:
    /// The latest report of a gateway.
    struct Reporter {
        Incarnation incarnation;
        bool isSwitched = false;
        uint32_t otherInFlight = 0;
        std::map<model::RouteName, model::RolloutRouteCounts> counts;
    };
    /// Answers of all gateways, and the test of the new version's. An answer is bad if it failed or took far longer
    /// than usual at the other versions.
    struct Comparison {
        model::AnswerCounts others;
        double recentAnswers = 0; ///< Latest ones of the other versions.
        double recentBadAnswers = 0;
        uint64_t trialAnswers = 0;
        uint64_t badTrialAnswers = 0;
        BadAnswerTest test;

        void add(const model::RolloutRouteCounts& added);
        /// The first bucket of times that are far longer than usual; no value: too few answers.
        [[nodiscard]] std::optional<size_t> slowBucket() const;
        /// Fraction of bad answers of the other versions: of all, or of the latest ones if it is higher, so that
        /// trouble that both versions have now is not blamed on the new one.
        [[nodiscard]] double usualRate(std::optional<size_t> slowBucket) const;
        [[nodiscard]] static uint64_t badOf(const model::AnswerCounts& answers, std::optional<size_t> slowBucket);
    };
    /// Whether all gateways have switched; `mustBeIdle`: and have no requests at other versions any more.
    [[nodiscard]] bool haveSwitched(std::span<const HostId> gateways, bool mustBeIdle) const;
    [[nodiscard]] bool hasEnoughSlots() const;
    [[nodiscard]] std::optional<RolloutDecision> decideInTrial(Duration elapsed) const;
    [[nodiscard]] std::optional<RolloutDecision> decideInSwitching(
        std::span<const HostId> gateways, Duration elapsed) const;
    [[nodiscard]] RolloutDecision decision(model::RolloutPhase phase, std::string reason) const;
    [[nodiscard]] std::string text(const model::RouteName& route, const Comparison& comparison) const;

    model::RolloutOrder order_;
    Timestamp startedAt_;
    std::map<HostId, Reporter> reporters_;
    std::map<model::RouteName, Comparison> routes_;
    Comparison all_;
    std::set<model::TargetVersion> otherVersions_;
    uint32_t trialSlots_ = 0; ///< The most that a gateway knows.
    uint32_t otherSlots_ = 0;
};

} // namespace saltvane::rollout
