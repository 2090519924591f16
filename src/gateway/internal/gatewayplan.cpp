/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/logtext.h"
#include "gateway/internal/gatewaycore.h"

#include <algorithm>
#include <utility>

/// What GatewayCore makes of the plan and the registry's word: what is in force, and how far it may be gone by.
namespace saltvane::gateway {

namespace {

/// Registry hosts come and go slower: word of them comes each second.
constexpr Duration SourcesPeriod = 100ms;
/// Three pulls: a plan that none of them proved may be an older one. New plans have to be in force within 2 s.
constexpr Duration LongestUnproven = 1500ms;

} // namespace

void GatewayCore::installPlan(Timestamp now)
{
    if (!holder_->isReady())
        return;
    std::optional<control::IBundleHolder::InForce> installed = holder_->takeInstalled();
    if (!installed)
        return;
    Result<model::RoutePlan, Findings> plan = planReader_.read(*installed->content, "plan");
    if (!plan)
        return log(
            host::LogSeverity::Error, "event=plan_unreadable version=" + std::to_string(installed->version.value));
    if (!routes_)
        routes_ = std::make_shared<RouteTable>();
    routes_->install(std::move(plan.value()));
    split_.install(routes_->plan());
    runner_.install(routes_);
    updateSplit(now);
    actions_.emplace_back(host::CallerLimitsChanged {.limits = routes_->plan().limits});
    log(host::LogSeverity::Info,
        "event=plan_in_force version=" + std::to_string(installed->version.value)
            + " index=" + std::to_string(installed->position.index.value) + " routes="
            + std::to_string(routes_->plan().routes.size()) + " new_routes=" + std::to_string(planReader_.newRoutes())
            + " age_ms=" + std::to_string(holder_->age(now).count() / 1'000'000));
}

void GatewayCore::noteDoubt(Timestamp now)
{
    const bool isProven = holder_->age(now) <= LongestUnproven;
    runner_.setPlanDoubtful(holder_->isFetching() || !isProven);
    if (routes_ && isProven == unprovenSince_.has_value())
        logProof(isProven, now);
}

void GatewayCore::logProof(bool isProven, Timestamp now)
{
    LogText line(isProven ? "plan_proven" : "plan_unproven");
    line.add("version", routes_->plan().version.value);
    if (isProven)
        line.addMilliseconds("after_ms", now - *unprovenSince_);
    else
        line.addMilliseconds("age_ms", holder_->age(now)).add("registries_heard", registriesHeard(now).size());
    log(isProven ? host::LogSeverity::Info : host::LogSeverity::Warning, line.text());
    unprovenSince_ = isProven ? std::nullopt : std::optional(now);
}

void GatewayCore::noteWord(Timestamp now)
{
    const RegistryWord word = registry_.word(*holder_, now);
    if (!routes_ || std::exchange(word_, word) == word)
        return;
    LogText line("registry_word");
    line.add("state", toString(word)).addMilliseconds("answer_age_ms", holder_->answerAge(now));
    line.addMilliseconds("plan_age_ms", holder_->age(now)).add("registries_heard", registriesHeard(now).size());
    log(word == RegistryWord::Current ? host::LogSeverity::Info : host::LogSeverity::Warning, line.text());
}

std::vector<const membership::RosterEntry*> GatewayCore::registriesHeard(Timestamp now) const
{
    // Word of the registry hosts comes each second within the region, rarer from others.
    constexpr Duration HeardLately = 1500ms;
    std::vector<const membership::RosterEntry*> registries = roster_->heardWithin(HeardLately, now);
    std::erase_if(registries, [](const auto* entry) { return !entry->record.isControl; });
    return registries;
}

/// Registry hosts to pull the plan from, nearest first.
void GatewayCore::updateSources(Timestamp now)
{
    nextSourcesAt_ = now + SourcesPeriod;
    std::vector<const membership::RosterEntry*> registries = registriesHeard(now);
    const auto nearness = [this](const membership::RosterEntry* entry) {
        if (entry->record.zone == settings_.zone)
            return 0;
        return entry->record.region == settings_.region ? 1 : 2;
    };
    std::ranges::stable_sort(registries, {}, nearness);
    std::vector<HostId> sources;
    for (const membership::RosterEntry* entry : registries)
        sources.push_back(entry->record.host);
    if (sources.empty())
        sources = roster_->controlHosts();
    credits_.setSources(sources);
    holder_->setPeers(sources, {}, now);
}

} // namespace saltvane::gateway
