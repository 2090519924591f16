/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "rollout/internal/rolloutjudge.h"

#include <algorithm>

namespace saltvane::rollout {

namespace {

/// Shares of a rollout's time limit. A version that turns bad later does so during the trial; what is left after it has
/// to suffice for the switch and for the requests in flight at the other versions.
constexpr double MinTrialShare = 0.4;
constexpr double MaxTrialShare = 0.8;
constexpr double MaxSwitchShare = 0.95;
/// Slots that the new version needs, relative to those of the versions that it replaces.
constexpr double MinSlotsRatio = 0.8;
/// Slow answers take over four times as long as the other versions' median, counted from the end of its bucket. Less is
/// no sign of a slow version: the first request for an object at a target takes up to three times as long, and nearly
/// all requests of a trial are such.
constexpr double MedianFraction = 0.5;
constexpr size_t SlowBuckets = 5;
constexpr uint64_t MinUsualAnswers = 30;
/// Latest answers of the other versions, which older ones leave by halves.
constexpr double MaxRecentAnswers = 400;
/// Bounds the memory for routes: a plan may have 19,000. The routes beyond are judged together with all others.
constexpr size_t MaxRoutes = 256;
constexpr size_t MaxOtherVersions = 16;

void merge(model::AnswerCounts& counts, const model::AnswerCounts& added)
{
    counts.failed += added.failed;
    counts.byTime.resize(std::max(counts.byTime.size(), added.byTime.size()));
    for (size_t bucket = 0; bucket < added.byTime.size(); ++bucket)
        counts.byTime[bucket] += added.byTime[bucket];
}

/// What was added since `known`; no value: `counts` is older.
std::optional<model::AnswerCounts> difference(const model::AnswerCounts& counts, const model::AnswerCounts& known)
{
    if (counts.failed < known.failed || counts.byTime.size() < known.byTime.size())
        return std::nullopt;
    model::AnswerCounts added {.failed = counts.failed - known.failed, .byTime = counts.byTime};
    for (size_t bucket = 0; bucket < known.byTime.size(); ++bucket) {
        if (counts.byTime[bucket] < known.byTime[bucket])
            return std::nullopt;
        added.byTime[bucket] -= known.byTime[bucket];
    }
    return added;
}

} // namespace

std::optional<size_t> RolloutJudge::Comparison::slowBucket() const
{
    const uint64_t timed = others.total() - others.failed;
    if (timed < MinUsualAnswers)
        return std::nullopt;
    uint64_t counted = 0;
    size_t bucket = 0;
    while (static_cast<double>(counted + others.byTime[bucket]) < MedianFraction * static_cast<double>(timed))
        counted += others.byTime[bucket++];
    return bucket + SlowBuckets;
}

uint64_t RolloutJudge::Comparison::badOf(const model::AnswerCounts& answers, std::optional<size_t> slowBucket)
{
    uint64_t bad = answers.failed;
    for (size_t bucket = slowBucket.value_or(answers.byTime.size()); bucket < answers.byTime.size(); ++bucket)
        bad += answers.byTime[bucket];
    return bad;
}

double RolloutJudge::Comparison::usualRate(std::optional<size_t> slowBucket) const
{
    const double all
        = static_cast<double>(badOf(others, slowBucket)) / static_cast<double>(std::max<uint64_t>(others.total(), 1));
    const double recent = recentAnswers < static_cast<double>(MinUsualAnswers) ? 0 : recentBadAnswers / recentAnswers;
    return std::max(all, recent);
}

void RolloutJudge::Comparison::add(const model::RolloutRouteCounts& added)
{
    merge(others, added.others);
    const std::optional<size_t> slow = slowBucket();
    if (recentAnswers >= MaxRecentAnswers) {
        recentAnswers /= 2;
        recentBadAnswers /= 2;
    }
    recentAnswers += static_cast<double>(added.others.total());
    recentBadAnswers += static_cast<double>(badOf(added.others, slow));
    const uint64_t trial = added.trial.total();
    const uint64_t badTrial = badOf(added.trial, slow);
    trialAnswers += trial;
    badTrialAnswers += badTrial;
    test.add(trial, badTrial, usualRate(slow));
}

void RolloutJudge::setPhase(model::RolloutPhase phase)
{
    if (order_.phase == phase)
        return;
    order_.phase = phase;
    for (auto& [gateway, reporter] : reporters_)
        reporter.isSwitched = false;
}

void RolloutJudge::handle(const model::RolloutReport& report)
{
    Reporter& reporter = reporters_[report.gateway];
    if (report.incarnation < reporter.incarnation)
        return;
    if (reporter.incarnation < report.incarnation)
        reporter = {.incarnation = report.incarnation};
    reporter.isSwitched = report.isSwitched && order_.phase == model::RolloutPhase::Switching;
    reporter.otherInFlight = report.otherInFlight;
    trialSlots_ = std::max(trialSlots_, report.trialSlots);
    otherSlots_ = std::max(otherSlots_, report.otherSlots);
    for (const model::TargetVersion& version : report.otherVersions) {
        if (otherVersions_.size() < MaxOtherVersions && version != order_.version)
            otherVersions_.insert(version);
    }
    for (const model::RolloutRouteCounts& counts : report.routes) {
        model::RolloutRouteCounts& known = reporter.counts[counts.route];
        const auto others = difference(counts.others, known.others);
        const auto trial = difference(counts.trial, known.trial);
        // Reports may overtake each other where a gateway changes the host that it reports to.
        if (!others || !trial)
            continue;
        const model::RolloutRouteCounts added {.route = counts.route, .others = *others, .trial = *trial};
        known = counts;
        all_.add(added);
        if (routes_.contains(counts.route) || routes_.size() < MaxRoutes)
            routes_[counts.route].add(added);
    }
}

bool RolloutJudge::haveSwitched(std::span<const HostId> gateways, bool mustBeIdle) const
{
    return std::ranges::all_of(gateways, [&](const HostId& gateway) {
        const auto found = reporters_.find(gateway);
        return found != reporters_.end() && found->second.isSwitched
            && (!mustBeIdle || found->second.otherInFlight == 0);
    });
}

bool RolloutJudge::hasEnoughSlots() const
{
    return trialSlots_ > 0 && static_cast<double>(trialSlots_) >= MinSlotsRatio * static_cast<double>(otherSlots_);
}

RolloutDecision RolloutJudge::decision(model::RolloutPhase phase, std::string reason) const
{
    return {.service = order_.service,
        .version = order_.version,
        .phase = phase,
        .otherVersions = {otherVersions_.begin(), otherVersions_.end()},
        .reason = std::move(reason)};
}

std::string RolloutJudge::text(const model::RouteName& route, const Comparison& comparison) const
{
    return "route=" + (route.isEmpty() ? std::string("all") : route.value())
        + " bad=" + std::to_string(comparison.badTrialAnswers) + "/" + std::to_string(comparison.trialAnswers)
        + " usual=" + std::to_string(Comparison::badOf(comparison.others, comparison.slowBucket())) + "/"
        + std::to_string(comparison.others.total()) + " evidence=" + std::to_string(comparison.test.evidence());
}

std::optional<RolloutDecision> RolloutJudge::decideInTrial(Duration elapsed) const
{
    const bool isTimeOver = elapsed >= fromSeconds(toSeconds(order_.timeLimit) * MaxTrialShare);
    const bool isTrialLongEnough = elapsed >= fromSeconds(toSeconds(order_.timeLimit) * MinTrialShare);
    if (isTrialLongEnough && all_.test.isAsGood() && hasEnoughSlots())
        return decision(model::RolloutPhase::Switching, text({}, all_));
    if (isTimeOver)
        return decision(model::RolloutPhase::RolledBack,
            "undecided " + text({}, all_) + " slots=" + std::to_string(trialSlots_) + "/"
                + std::to_string(otherSlots_));
    return std::nullopt;
}

std::optional<RolloutDecision> RolloutJudge::decideInSwitching(std::span<const HostId> gateways, Duration elapsed) const
{
    const bool isTimeOver = elapsed >= fromSeconds(toSeconds(order_.timeLimit) * MaxSwitchShare);
    if (haveSwitched(gateways, !isTimeOver))
        return decision(model::RolloutPhase::Completed, text({}, all_));
    if (isTimeOver)
        return decision(model::RolloutPhase::RolledBack, "not all gateways have switched");
    return std::nullopt;
}

std::optional<RolloutDecision> RolloutJudge::decide(std::span<const HostId> gateways, Timestamp now) const
{
    if (!isUnderWay(order_.phase))
        return std::nullopt;
    if (all_.test.isWorse())
        return decision(model::RolloutPhase::RolledBack, text({}, all_));
    for (const auto& [route, comparison] : routes_) {
        if (comparison.test.isWorse())
            return decision(model::RolloutPhase::RolledBack, text(route, comparison));
    }
    const Duration elapsed = now - startedAt_;
    return order_.phase == model::RolloutPhase::Trial ? decideInTrial(elapsed) : decideInSwitching(gateways, elapsed);
}

Duration RolloutJudge::timeLeft(Timestamp now) const
{
    return std::max(order_.timeLimit - (now - startedAt_), Duration::zero());
}

} // namespace saltvane::rollout
