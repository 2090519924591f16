/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/hostmodules.h"

namespace saltvane::host {

namespace {

// A seed for each module, so that their random sequences are independent.
constexpr uint64_t SteeringSeed = 0x9e3779b97f4a7c15;
constexpr uint64_t PoolSeed = 0xbf58476d1ce4e5b9;
constexpr uint64_t EntrySeed = 0x94d049bb133111eb;
constexpr uint64_t ReplicaSeed = 0xd6e8feb86659fd93;

membership::HostIdentity identityOf(const HostCoreOptions& options)
{
    const settings::HostSettings& settings = options.settings;
    return {
        .host = settings.host,
        .incarnation = options.incarnation,
        .zone = settings.zone,
        .region = settings.region,
        .linkAddress = settings.linkAddress,
        .entryAddress = settings.entryAddress,
        .isControl = settings.isControl,
    };
}

std::vector<HostId> controlHostIds(const settings::HostSettings& settings)
{
    std::vector<HostId> hosts;
    for (const settings::ControlHost& control : settings.controlHosts)
        hosts.push_back(control.host);
    return hosts;
}

Result<model::Bundle, Findings> parseContent(std::string_view content)
{
    return settings::parseBundle(content, "bundle");
}

std::unique_ptr<control::IControlReplica> makeReplica(const HostCoreOptions& options, model::Counters* counters)
{
    if (!options.settings.isControl || !options.recovered)
        return nullptr;
    return control::makeControlReplica({
        .self = options.settings.host,
        .incarnation = options.incarnation,
        .recovered = *options.recovered,
        .bootstrapHosts = controlHostIds(options.settings),
        .bootstrapOperators = options.settings.operators,
        .parseBundle = parseContent,
        .wallClockUnixMs = options.wallClockUnixMs,
        .seed = options.seed ^ ReplicaSeed,
        .counters = counters,
    });
}

} // namespace

HostModules::HostModules(HostCoreOptions coreOptions)
    : options(std::move(coreOptions))
    , self(identityOf(options))
    , hostTable(membership::makeHostTable({.self = self, .seeds = options.settings.seeds, .counters = &counters}))
    , directory(membership::makeTargetDirectory({.self = self, .hosts = hostTable.get(), .counters = &counters}))
    , pool(steering::makeTargetPool({.seed = options.seed ^ PoolSeed, .counters = &counters}))
    , owner(requests::makeOwnerRequests({.self = self, .pool = pool.get(), .counters = &counters}))
    , creditIssuer(membership::makeCreditIssuer({.counters = &counters}))
    , creditStore(membership::makeCreditStore({.counters = &counters}))
    , retryBudget(steering::makeRetryBudget({}))
    , tokenIssuer(requests::makeTokenIssuer(
          {.host = self.host, .incarnation = self.incarnation, .macKey = options.settings.tokenKey}))
    , hostLiveness(std::make_unique<HostLiveness>(self, *hostTable))
    , bundleReplica(control::makeBundleReplica({.self = self.host, .counters = &counters}))
    , replica(makeReplica(options, &counters))
{
}

void HostModules::install(model::DeploymentPtr installed, Timestamp now)
{
    deployment = std::move(installed);
    if (!steering) {
        steering = steering::makeSteering({
            .ownRegion = deployment->findRegion(self.region).value_or(RegionIndex {}),
            .seed = options.seed ^ SteeringSeed,
            .counters = &counters,
        });
        entry = requests::makeEntryRequests({
            .self = self,
            .steering = steering.get(),
            .credits = creditStore.get(),
            .retryBudget = retryBudget.get(),
            .tokenIssuer = tokenIssuer.get(),
            .hosts = hostLiveness.get(),
            .counters = &counters,
            .seed = options.seed ^ EntrySeed,
        });
    }
    steering->install(deployment, now);
    entry->install(deployment, now);
}

void HostModules::onHostLost(const HostId& host, Timestamp now)
{
    owner->onHostLost(host, now);
    creditIssuer->onHostLost(host, now);
    creditStore->onOwnerLost(host, now);
    if (entry)
        entry->onHostLost(host, now);
}

uint32_t HostModules::requestsInFlight() const { return (entry ? entry->inFlight() : 0) + owner->inFlight(); }

uint32_t HostModules::terminateAll(Timestamp now)
{
    const uint32_t terminatedAtEntry = entry ? entry->terminateAll(now) : 0;
    return terminatedAtEntry + owner->terminateAll(now);
}

} // namespace saltvane::host
