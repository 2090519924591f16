/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/logtext.h"
#include "gateway/internal/gatewaycore.h"

#include <algorithm>
#include <utility>

/// GatewayCore: installation of plans, and how current the plan and the registry's information are.
namespace saltvane::gateway {

namespace {

/// The set of responsive registry hosts changes more slowly than this, since their heartbeats come once per second.
constexpr Duration SourcesInterval = 100ms;
/// Three pulls: a plan that none of them proved may be outdated. New plans have to be in force within 2 s.
constexpr Duration MaxUnprovenAge = 1500ms;

} // namespace

void GatewayCore::installPlan(Timestamp now)
{
    if (!planInstaller_.isPending() && replica_->isReady()) {
        if (std::optional<control::IBundleReplica::InForce> newPlan = replica_->popInstalled())
            planInstaller_.start(*std::move(newPlan));
    }
    if (planInstaller_.isSmall()) {
        planInstaller_.step();
        installParsedPlan(now);
    }
    // While a newer plan is installed, the one in force may be used for a limited time after its last proof.
    registry_.setReplacedPlan(planInstaller_.isPending() ? std::optional(planProvenAt_) : std::nullopt);
}

void GatewayCore::continuePlanInstallation(Timestamp now)
{
    if (!planInstaller_.isPending()) {
        planProvenAt_ = now - replica_->age(now);
        return;
    }
    installParsedPlan(now);
    planInstaller_.step();
}

void GatewayCore::installParsedPlan(Timestamp now)
{
    std::optional<PlanInstaller::Parsed> parsed = planInstaller_.popParsed();
    if (!parsed)
        return;
    const PlanInstaller::InForce& source = parsed->source;
    if (!parsed->plan)
        return log(host::LogSeverity::Error, "event=plan_unreadable version=" + std::to_string(source.version.value));
    if (!routes_)
        routes_ = std::make_shared<RouteTable>(keyHasher_);
    routes_->install(std::move(parsed->plan.value()), source.position);
    split_.install(routes_->plan());
    targets_.install(routes_->plan());
    runner_.install(routes_);
    updateSplit(now);
    actions_.emplace_back(host::CallerLimitsChanged {.limits = routes_->plan().limits});
    log(host::LogSeverity::Info,
        "event=plan_in_force version=" + std::to_string(source.version.value) + " index="
            + std::to_string(source.position.index.value) + " routes=" + std::to_string(routes_->plan().routes.size())
            + " new_routes=" + std::to_string(planInstaller_.newRoutes())
            + " age_ms=" + std::to_string(replica_->age(now).count() / 1'000'000));
}

void GatewayCore::updatePlanCertainty(Timestamp now)
{
    const bool isProven = replica_->age(now) <= MaxUnprovenAge;
    runner_.setPlanUncertain(replica_->isFetching() || planInstaller_.isPending() || !isProven);
    if (routes_ && isProven == unprovenSince_.has_value())
        logPlanProof(isProven, now);
}

void GatewayCore::logPlanProof(bool isProven, Timestamp now)
{
    LogText line(isProven ? "plan_proven" : "plan_unproven");
    line.add("version", routes_->plan().version.value);
    if (isProven)
        line.addMilliseconds("after_ms", now - *unprovenSince_);
    else
        line.addMilliseconds("age_ms", replica_->age(now)).add("registries_heard", responsiveRegistries(now).size());
    log(isProven ? host::LogSeverity::Info : host::LogSeverity::Warning, line.text());
    unprovenSince_ = isProven ? std::nullopt : std::optional(now);
}

void GatewayCore::updateRegistryFreshness(Timestamp now)
{
    const RegistryFreshness freshness = registry_.freshness(*replica_, now);
    if (!routes_ || std::exchange(registryFreshness_, freshness) == freshness)
        return;
    LogText line("registry_word");
    line.add("state", toString(freshness)).addMilliseconds("answer_age_ms", replica_->answerAge(now));
    line.addMilliseconds("plan_age_ms", replica_->age(now)).add("registries_heard", responsiveRegistries(now).size());
    log(freshness == RegistryFreshness::Current ? host::LogSeverity::Info : host::LogSeverity::Warning, line.text());
}

void GatewayCore::updateConfirmation(Timestamp now)
{
    const auto isEachQuorumHeard = [&] {
        // The roster forgets hosts that are silent for a while.
        const size_t voters = registryVoters_ > 0 ? registryVoters_ : roster_->controlHosts().size();
        // A quorum is more than half of the voters, so it contains one of any half.
        return voters > 0 && responsiveRegistries(now).size() * 2 >= voters;
    };
    targets_.setConfirmed(RegistryWatch::isConfirmed(*replica_, isEachQuorumHeard, now));
}

std::vector<const membership::RosterEntry*> GatewayCore::responsiveRegistries(Timestamp now) const
{
    // Registry hosts send heartbeats once per second within the region, less often from other regions.
    constexpr Duration ResponsiveTimeout = 1500ms;
    std::vector<const membership::RosterEntry*> registries = roster_->receivedWithin(ResponsiveTimeout, now);
    std::erase_if(registries, [](const auto* entry) { return !entry->record.isControl; });
    return registries;
}

/// Selects the registry hosts to pull the plan from, nearest first.
void GatewayCore::updateSources(Timestamp now)
{
    nextSourcesAt_ = now + SourcesInterval;
    std::vector<const membership::RosterEntry*> registries = responsiveRegistries(now);
    const auto proximity = [this](const membership::RosterEntry* entry) {
        if (entry->record.zone == settings_.zone)
            return 0;
        return entry->record.region == settings_.region ? 1 : 2;
    };
    std::ranges::stable_sort(registries, {}, proximity);
    std::vector<HostId> sources;
    for (const membership::RosterEntry* entry : registries)
        sources.push_back(entry->record.host);
    if (sources.empty())
        sources = roster_->controlHosts();
    credits_.setSources(sources);
    replica_->setPeers(sources, {}, now);
    registrySources_ = std::move(sources);
}

} // namespace saltvane::gateway
