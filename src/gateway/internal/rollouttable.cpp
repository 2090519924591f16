/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/rollouttable.h"

#include "base/unitinterval.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

/// The new version takes over the objects one after another for this long: its targets have none of them warm.
constexpr Duration SwitchDuration = 2s;
/// Unused requests are not saved up for longer, so that the new version gets its share evenly.
constexpr double MaxBalance = 3;
constexpr Duration ReportInterval = 700ms;
/// A gateway forwards few routes; the answers of those beyond are reported together.
constexpr size_t MaxRoutes = 64;

} // namespace

void RolloutTable::apply(std::span<const model::RolloutOrder> orders, Timestamp now)
{
    std::map<ServiceName, Rollout> former = std::exchange(rollouts_, {});
    ended_.clear();
    for (const model::RolloutOrder& order : orders) {
        if (!model::isUnderWay(order.phase)) {
            ended_.insert_or_assign(order.service, order);
            continue;
        }
        const auto known = former.find(order.service);
        const bool isSame = known != former.end() && known->second.order.version == order.version;
        Rollout rollout = isSame ? std::move(known->second) : Rollout {.order = order, .endsAt = now + order.timeLimit};
        const bool startsSwitching
            = order.phase == model::RolloutPhase::Switching && (!isSame || rollout.order.phase != order.phase);
        if (startsSwitching)
            rollout.switchingSince = now;
        rollout.endsAt = std::min(rollout.endsAt, now + order.timeLimit);
        rollout.order = order;
        rollouts_.insert_or_assign(order.service, std::move(rollout));
    }
}

const RolloutTable::Rollout* RolloutTable::find(const ServiceName& service) const
{
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() ? nullptr : &found->second;
}

bool RolloutTable::isInTrial(const ServiceName& service) const
{
    const Rollout* rollout = find(service);
    return rollout != nullptr && rollout->order.phase == model::RolloutPhase::Trial;
}

double RolloutTable::switchedFraction(const Rollout& rollout, Timestamp now)
{
    if (rollout.order.phase != model::RolloutPhase::Switching)
        return 0;
    return std::min(1.0, toSeconds(now - rollout.switchingSince) / toSeconds(SwitchDuration));
}

VersionRole RolloutTable::roleOf(const ServiceName& service, const model::TargetVersion& version, Timestamp now) const
{
    const auto isExcluded = [&](const model::RolloutOrder& order) {
        return std::ranges::find(order.excluded, version) != order.excluded.end();
    };
    if (const Rollout* rollout = find(service)) {
        if (rollout->order.version == version)
            return VersionRole::Trial;
        const bool isReplaced = switchedFraction(*rollout, now) >= 1;
        return isReplaced || isExcluded(rollout->order) ? VersionRole::Excluded : VersionRole::Serving;
    }
    const auto ended = ended_.find(service);
    return ended != ended_.end() && isExcluded(ended->second) ? VersionRole::Excluded : VersionRole::Serving;
}

bool RolloutTable::mayUseTrial(const ServiceName& service, uint64_t object, bool isInformed, Timestamp now) const
{
    const Rollout* rollout = find(service);
    if (rollout == nullptr)
        return false;
    if (rollout->order.phase == model::RolloutPhase::Switching)
        return toUnitInterval(object) < switchedFraction(*rollout, now);
    return isInformed && now < rollout->endsAt && rollout->balance >= 1;
}

void RolloutTable::recordSent(const ServiceName& service, VersionRole role)
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.phase != model::RolloutPhase::Trial)
        return;
    double& balance = found->second.balance;
    balance = std::min(balance + share_, MaxBalance) - (role == VersionRole::Trial ? 1 : 0);
}

void RolloutTable::recordWithheld(const ServiceName& service, VersionRole role)
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.phase != model::RolloutPhase::Trial)
        return;
    double& balance = found->second.balance;
    balance = std::min(balance - share_ + (role == VersionRole::Trial ? 1 : 0), MaxBalance);
}

void RolloutTable::recordAnswer(const Answer& answer)
{
    const auto found = rollouts_.find(answer.service);
    if (found == rollouts_.end())
        return;
    auto& counts = found->second.counts;
    const bool isKnown = counts.contains(answer.route) || counts.size() < MaxRoutes;
    model::RolloutRouteCounts& route = counts[isKnown ? answer.route : model::RouteName()];
    route.route = isKnown ? answer.route : model::RouteName();
    model::AnswerCounts& answers = answer.role == VersionRole::Trial ? route.trial : route.others;
    if (answer.time)
        answers.add(*answer.time);
    else
        ++answers.failed;
}

std::vector<model::RolloutReport> RolloutTable::drainReports(Timestamp now)
{
    std::vector<model::RolloutReport> reports;
    for (auto& [service, rollout] : rollouts_) {
        if (now < rollout.nextReportAt)
            continue;
        rollout.nextReportAt = now + ReportInterval;
        model::RolloutReport report {
            .service = service, .version = rollout.order.version, .isSwitched = switchedFraction(rollout, now) >= 1};
        for (const auto& [route, counts] : rollout.counts)
            report.routes.push_back(counts);
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace saltvane::gateway
