/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requesthasher.h"
#include "membership/suspecttable.h"

#include <benchmark/benchmark.h>

#include <string>

/// Cost per request of the quarantine of fatal requests, by the length of the body and by the number of fatal requests
/// that are known.
namespace saltvane {
namespace {

constexpr int64_t NoBody = 0;
constexpr int64_t TypicalBody = 1500;
constexpr int64_t LargeBody = 1024 * 1024;
constexpr int64_t Few = 4;
constexpr int64_t Many = 4096;
constexpr Timestamp Now {1000s};

void digestOfRequest(benchmark::State& state)
{
    const gateway::DigestKey key = gateway::deriveDigestKey(std::string(32, 'k'));
    const std::string body(static_cast<size_t>(state.range(0)), 'b');
    for ([[maybe_unused]] auto turn : state) {
        gateway::RequestHasher hasher(
            key, {.method = "GET", .host = "prices.example", .path = "/read/account/41/2db6?page=2"});
        hasher.addBody(body);
        benchmark::DoNotOptimize(hasher.finish());
    }
}

model::RequestDigest digestOf(int64_t number)
{
    const auto value = static_cast<uint64_t>(number);
    return {.high = value, .low = value * 0x9e3779b97f4a7c15};
}

void lookUpVerdict(benchmark::State& state)
{
    membership::SuspectTable table(membership::SuspectTable::Limits {});
    for (int64_t number = 0; number < state.range(0); ++number)
        (void)table.merge({.digest = digestOf(number), .isBlamed = true}, Now);
    int64_t number = 0;
    for ([[maybe_unused]] auto turn : state)
        benchmark::DoNotOptimize(table.isBlamed(digestOf(++number)));
}

BENCHMARK(digestOfRequest)->Arg(NoBody)->Arg(TypicalBody)->Arg(LargeBody);
BENCHMARK(lookUpVerdict)->Arg(Few)->Arg(Many);

} // namespace
} // namespace saltvane

BENCHMARK_MAIN();
