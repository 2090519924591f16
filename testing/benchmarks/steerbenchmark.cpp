/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/deployment.h"
#include "steering/isteering.h"

#include <benchmark/benchmark.h>
#include <random>
#include <string>

/// Benchmarks a steering decision (steer_decision_ns) by the size of the deployment.
namespace saltvane::steering {
namespace {

constexpr uint32_t Clients = 4096;
constexpr Duration RequestInterval = 100us;
constexpr uint32_t ZonesPerRegion = 2;
constexpr uint32_t SlotsPerZone = 36;
constexpr double DemandPerRegion = 20;

/// Only the zones below an index have credit.
class CreditBelowZone : public ICreditView {
public:
    explicit CreditBelowZone(uint32_t end)
        : end_(end)
    {
    }
    [[nodiscard]] bool hasCredit(ServiceIndex /*service*/, ZoneIndex zone) const override { return zone.value < end_; }

private:
    uint32_t end_;
};

std::string clientAddress(uint32_t block, const char* host)
{
    const auto byte = [block](int shift) { return std::to_string(block >> shift & 255) + "."; };
    return std::to_string(10 + (block >> 16)) + "." + byte(8) + byte(0) + host;
}

model::Bundle bundleOf(uint32_t zones, uint32_t zonesPerRegion, uint32_t clientBlocks)
{
    model::Bundle bundle;
    bundle.deployment = "benchmark";
    bundle.version = {1};
    model::Service service;
    service.name = ServiceName("pricing");
    for (uint32_t zone = 0; zone < zones; ++zone) {
        const auto number = zone / zonesPerRegion;
        const RegionName region("r" + std::to_string(number));
        if (zone % zonesPerRegion == 0)
            bundle.regions.push_back({.name = region});
        bundle.zones.push_back({.name = ZoneName("z" + std::to_string(zone)), .region = region});
        service.zones.push_back({.zone = bundle.zones.back().name, .open = 1});
    }
    for (uint32_t block = 0; block < clientBlocks; ++block) {
        const auto& region = bundle.regions[block % bundle.regions.size()].name;
        bundle.clients.push_back({.prefix = clientAddress(block, "0/24"), .region = region});
    }
    bundle.defaultClientRegion = bundle.regions.front().name;
    bundle.services.push_back(service);
    return bundle;
}

model::DeploymentPtr deploymentOf(uint32_t zones, uint32_t clientBlocks)
{
    return std::make_shared<const model::Deployment>(bundleOf(zones, ZonesPerRegion, clientBlocks), LogPosition {});
}

std::unique_ptr<ISteering> steeringOf(const model::DeploymentPtr& deployment, Timestamp now)
{
    auto steering = makeSteering({.seed = 1});
    steering->install(deployment, now);
    const auto zones = deployment->zoneCount();
    std::vector<ZoneRoom> rooms;
    std::vector<RegionDemand> demands;
    for (uint32_t zone = 0; zone < zones; ++zone)
        rooms.push_back({.service = {0}, .zone = {zone}, .room = SlotsPerZone});
    // The first region is overloaded, so that its row lists many zones.
    for (uint32_t region = 0; region < deployment->regionCount(); ++region) {
        const double demand = region == 0 ? DemandPerRegion * zones : DemandPerRegion;
        demands.push_back({.service = {0}, .clientRegion = {region}, .concurrency = demand});
    }
    steering->update(rooms, demands, now);
    return steering;
}

/// A complete decision: looks up the client's region by its address block and chooses a zone from the region's row;
/// every zone has credit.
void steerDecision(benchmark::State& state)
{
    const auto zones = static_cast<uint32_t>(state.range(0));
    const auto blocks = static_cast<uint32_t>(state.range(1));
    Timestamp now {1000s};
    const auto deployment = deploymentOf(zones, blocks);
    const auto steering = steeringOf(deployment, now);
    const CreditBelowZone credits(zones);
    std::mt19937 random(1);
    std::vector<std::string> clients;
    for (uint32_t client = 0; client < Clients; ++client)
        clients.push_back(clientAddress(random() % blocks, "7"));
    size_t client = 0;
    for (auto _ : state) {
        now += RequestInterval;
        const auto region = deployment->clientRegion(clients[++client % Clients]);
        benchmark::DoNotOptimize(steering->choose({.service = {0}, .clientRegion = region}, credits, now));
    }
}
BENCHMARK(steerDecision)->Args({6, 6})->Args({67, 100'000});

/// Only the choice of a zone, from a row that lists every zone.
void steerChoice(benchmark::State& state)
{
    const auto zones = static_cast<uint32_t>(state.range(0));
    Timestamp now {1000s};
    const auto steering = steeringOf(deploymentOf(zones, 1), now);
    const CreditBelowZone credits(zones);
    const ChoiceQuery query {.service = {0}, .clientRegion = {0}};
    for (auto _ : state) {
        now += RequestInterval;
        benchmark::DoNotOptimize(steering->choose(query, credits, now));
    }
}
BENCHMARK(steerChoice)->Arg(6)->Arg(67);

/// No zone has credit: every open zone is checked before the refusal.
void steerRefusal(benchmark::State& state)
{
    const auto zones = static_cast<uint32_t>(state.range(0));
    Timestamp now {1000s};
    const auto steering = steeringOf(deploymentOf(zones, 1), now);
    const CreditBelowZone credits(0);
    const ChoiceQuery query {.service = {0}, .clientRegion = {0}};
    for (auto _ : state) {
        now += RequestInterval;
        benchmark::DoNotOptimize(steering->choose(query, credits, now));
    }
}
BENCHMARK(steerRefusal)->Arg(6)->Arg(67);

/// One tick without changes; a service has ten ticks per second.
void steerTick(benchmark::State& state)
{
    const auto zones = static_cast<uint32_t>(state.range(0));
    Timestamp now {1000s};
    const auto steering = steeringOf(deploymentOf(zones, 1), now);
    const CreditBelowZone credits(zones);
    benchmark::DoNotOptimize(steering->choose({.service = {0}, .clientRegion = {0}}, credits, now));
    for (auto _ : state) {
        now += 100ms;
        steering->tick(now);
    }
}
BENCHMARK(steerTick)->Arg(6)->Arg(67);

} // namespace
} // namespace saltvane::steering

BENCHMARK_MAIN();
