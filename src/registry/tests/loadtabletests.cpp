/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/loadtable.h"
#include "registry/internal/nearestgateways.h"

#include <boost/random/mersenne_twister.hpp>
#include <gtest/gtest.h>

#include <map>

namespace saltvane::registry::test {

namespace {

std::map<uint64_t, uint32_t> asMap(const model::TargetLoads& loads)
{
    std::map<uint64_t, uint32_t> map;
    for (size_t i = 0; i < loads.targets.size(); ++i)
        map[loads.targets[i]] = loads.inFlight[i];
    return map;
}

} // namespace

// 91 gateways report requests on 452 targets: the published sums must track the actual ones, with few entries sent.
TEST(LoadTableTest, PublishedChangesTrackTheSums)
{
    boost::random::mt19937_64 random(7);
    LoadTable table;
    std::map<HostId, std::map<uint64_t, uint32_t>> reportedLoads;
    std::map<uint64_t, uint32_t> received;
    Timestamp now {100s};
    size_t entries = 0;
    constexpr int Rounds = 100;
    for (int round = 0; round < Rounds; ++round) {
        for (int gateway = 0; gateway < 91; ++gateway) {
            const HostId host("g-" + std::to_string(gateway));
            std::map<uint64_t, uint32_t>& own = reportedLoads[host];
            for (int change = 0; change < 4; ++change) {
                if (!own.empty() && random() % 2 == 0)
                    own.erase(own.begin());
                own[random() % 452 + 1] = 1;
            }
            model::TargetLoads loads;
            for (const auto& [target, inFlight] : own) {
                loads.targets.push_back(target);
                loads.inFlight.push_back(inFlight);
            }
            table.record(host, loads, now);
        }
        const model::TargetLoads changes = table.drainChanges();
        entries += changes.targets.size();
        for (const auto& [target, inFlight] : asMap(changes))
            received[target] = inFlight;
        std::map<uint64_t, uint32_t> sums;
        for (const auto& [host, own] : reportedLoads) {
            for (const auto& [target, inFlight] : own)
                sums[target] += inFlight;
        }
        for (const auto& [target, sum] : sums) {
            const uint32_t published = received[target];
            const uint32_t difference = sum > published ? sum - published : published - sum;
            ASSERT_LE(difference, published / 4) << "round " << round;
        }
        now += 300ms;
    }
    EXPECT_LT(entries, 452U * Rounds / 2); // Sending all of them each time would be more than twice that.
}

TEST(LoadTableTest, LoadsOfExpiredGatewayAreRemoved)
{
    LoadTable table;
    const Timestamp now {100s};
    table.record(HostId("a"), {.targets = {1}, .inFlight = {5}}, now);
    table.record(HostId("b"), {.targets = {1}, .inFlight = {4}}, now + 3s);
    EXPECT_EQ(asMap(table.drainChanges()).at(1), 9U);
    table.expire(now + 4s);
    EXPECT_EQ(asMap(table.drainChanges()).at(1), 4U);
    table.expire(now + 8s);
    EXPECT_EQ(asMap(table.drainChanges()).at(1), 0U);
    EXPECT_TRUE(table.published().targets.empty());
}

TEST(LoadTableTest, NewGatewayReceivesThePublishedSums)
{
    LoadTable table;
    table.record(HostId("a"), {.targets = {1, 2}, .inFlight = {5, 7}}, Timestamp {100s});
    (void)table.drainChanges();
    EXPECT_FALSE(table.published().isChange);
    EXPECT_EQ(asMap(table.published()), (std::map<uint64_t, uint32_t> {{1, 5}, {2, 7}}));
}

TEST(NearestGatewaysTest, EachGatewayIsAssignedToExactlyOneHost)
{
    const auto host = [](int number, const char* zone, const char* region) {
        return HostLocation {
            .host = HostId("r-" + std::to_string(number)), .zone = ZoneName(zone), .region = RegionName(region)};
    };
    const std::vector<HostLocation> registry {host(0, "n-a", "n"), host(1, "n-b", "n"), host(2, "s-a", "s")};
    std::vector<HostLocation> gateways;
    for (int i = 0; i < 60; ++i)
        gateways.push_back({.host = HostId("g-" + std::to_string(i)),
            .zone = ZoneName(i % 3 == 0 ? "n-a" : (i % 3 == 1 ? "n-c" : "w-a")),
            .region = RegionName(i % 3 == 2 ? "w" : "n")});
    std::map<HostId, int> hostsByGateway;
    for (const HostLocation& self : registry) {
        std::vector<HostLocation> others = registry;
        std::erase(others, self);
        NearestGateways nearest(self);
        for (const HostId& gateway : nearest.update(others, gateways)) {
            ++hostsByGateway[gateway];
            EXPECT_EQ(nearest.update(others, gateways).size(), nearest.update(others, gateways).size());
        }
    }
    EXPECT_EQ(hostsByGateway.size(), gateways.size());
    for (const auto& [gateway, hosts] : hostsByGateway)
        EXPECT_EQ(hosts, 1) << gateway.value();
}

} // namespace saltvane::registry::test
