/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/placement.h"
#include "registry/internal/loadtable.h"
#include "registry/internal/targettable.h"

#include <benchmark/benchmark.h>

/// Cost of one request, report or tick by the number of known targets.
namespace saltvane {
namespace {

constexpr Timestamp Now {100s};
const ServiceName Quotes {"quotes"};

model::TargetRecord recordOf(uint32_t number, uint64_t sequence)
{
    return {.target = TargetId("i-" + std::to_string(number)),
        .service = Quotes,
        .address = {.ip = "10.1.0.1", .port = static_cast<uint16_t>(number)},
        .zone = ZoneName(number % 3 == 0 ? "n-a" : (number % 3 == 1 ? "n-b" : "s-a")),
        .slots = 9,
        .sequence = sequence};
}

const HostId Registry("r");
const std::map<ZoneName, RegionName> Zones {
    {ZoneName("n-a"), RegionName("n")}, {ZoneName("n-b"), RegionName("n")}, {ZoneName("s-a"), RegionName("s")}};

class Gateway {
public:
    explicit Gateway(uint32_t targets)
    {
        model::TargetReport report;
        for (uint32_t i = 0; i < targets; ++i)
            report.targets.push_back(recordOf(i, 1));
        set.applyReport(report, Registry, Now);
    }
    gateway::TargetSet set {{.self = HostId("g"), .zone = ZoneName("n-a"), .region = RegionName("n")}, Zones};
    gateway::RegionSplit split {0.15};
    gateway::Placement placement {set, split, 1};
};

void chooseTarget(benchmark::State& state)
{
    Gateway gateway(static_cast<uint32_t>(state.range(0)));
    const model::Route route {.objective = 1s, .services = {{.service = Quotes, .weight = 1}}};
    const model::RoutedService service {.name = Quotes};
    constexpr uint64_t Objects = 1000;
    const auto choose = [&](uint64_t object) {
        return gateway.placement.choose(
            {.route = route, .service = service, .object = object % Objects, .remaining = 10s}, Now);
    };
    for (uint64_t object = 0; object < Objects; ++object)
        (void)choose(object); // Ranks the targets of each object; the rankings are cached.
    uint64_t object = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(choose(++object));
}

void noteOneRecord(benchmark::State& state)
{
    Gateway gateway(static_cast<uint32_t>(state.range(0)));
    uint64_t sequence = 1;
    for (auto _ : state)
        gateway.set.applyReport({.targets = {recordOf(7, ++sequence)}}, Registry, Now);
}

void tickGateway(benchmark::State& state)
{
    Gateway gateway(static_cast<uint32_t>(state.range(0)));
    for (auto _ : state)
        gateway.set.tick(Now);
}

void noteLoadsOfSixteen(benchmark::State& state)
{
    Gateway gateway(static_cast<uint32_t>(state.range(0)));
    model::TargetLoads loads {.isChange = true};
    for (uint32_t i = 0; i < 16; ++i) {
        loads.targets.push_back(model::incarnationHash({.target = recordOf(i, 1).target}));
        loads.inFlight.push_back(i);
    }
    for (auto _ : state)
        gateway.set.applyLoads(loads, Now);
}

void hearOneTarget(benchmark::State& state)
{
    registry::TargetTable table(Zones);
    for (uint32_t i = 0; i < static_cast<uint32_t>(state.range(0)); ++i)
        (void)table.applyReport(recordOf(i, 1), Now);
    (void)table.drainUpdates({}, Now);
    uint64_t sequence = 1;
    for (auto _ : state) {
        (void)table.applyReport(recordOf(7, ++sequence), Now);
        benchmark::DoNotOptimize(table.drainUpdates({}, Now));
    }
}

constexpr int Small = 36;
constexpr int Medium = 400;
constexpr int Large = 1356;
/// Expected after two years of growth.
constexpr int VeryLarge = 10'000;
BENCHMARK(chooseTarget)->Arg(Small)->Arg(Medium)->Arg(Large)->Arg(VeryLarge);
BENCHMARK(noteOneRecord)->Arg(Small)->Arg(Medium)->Arg(Large)->Arg(VeryLarge);
BENCHMARK(tickGateway)->Arg(Small)->Arg(Medium)->Arg(Large)->Arg(VeryLarge);
BENCHMARK(noteLoadsOfSixteen)->Arg(Small)->Arg(Medium)->Arg(Large)->Arg(VeryLarge);
BENCHMARK(hearOneTarget)->Arg(Small)->Arg(Medium)->Arg(Large)->Arg(VeryLarge);

} // namespace
} // namespace saltvane

BENCHMARK_MAIN();
