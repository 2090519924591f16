/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/loadboard.h"
#include "registry/internal/neargateways.h"

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

// 273 gateways tell of their requests at 1,356 targets: what is told must follow the sums, in few entries.
TEST(LoadBoardTest, ChangesFollowTheSums)
{
    boost::random::mt19937_64 random(7);
    LoadBoard board;
    std::map<HostId, std::map<uint64_t, uint32_t>> truth;
    std::map<uint64_t, uint32_t> heard;
    Timestamp now {100s};
    size_t entries = 0;
    constexpr int Rounds = 100;
    for (int round = 0; round < Rounds; ++round) {
        for (int gateway = 0; gateway < 91; ++gateway) {
            const HostId host("g-" + std::to_string(gateway));
            std::map<uint64_t, uint32_t>& own = truth[host];
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
            board.note(host, loads, now);
        }
        const model::TargetLoads changes = board.takeChanges();
        entries += changes.targets.size();
        for (const auto& [target, inFlight] : asMap(changes))
            heard[target] = inFlight;
        std::map<uint64_t, uint32_t> sums;
        for (const auto& [host, own] : truth) {
            for (const auto& [target, inFlight] : own)
                sums[target] += inFlight;
        }
        for (const auto& [target, sum] : sums) {
            const uint32_t told = heard[target];
            const uint32_t difference = sum > told ? sum - told : told - sum;
            ASSERT_LE(difference, told / 4) << "round " << round;
        }
        now += 300ms;
    }
    EXPECT_LT(entries, 452U * Rounds / 2); // All of them, each time, would be twice that and more.
}

TEST(LoadBoardTest, AGatewayThatIsGoneTakesItsRequestsAlong)
{
    LoadBoard board;
    const Timestamp now {100s};
    board.note(HostId("a"), {.targets = {1}, .inFlight = {5}}, now);
    board.note(HostId("b"), {.targets = {1}, .inFlight = {4}}, now + 3s);
    EXPECT_EQ(asMap(board.takeChanges()).at(1), 9U);
    board.expire(now + 4s);
    EXPECT_EQ(asMap(board.takeChanges()).at(1), 4U);
    board.expire(now + 8s);
    EXPECT_EQ(asMap(board.takeChanges()).at(1), 0U);
    EXPECT_TRUE(board.told().targets.empty());
}

TEST(LoadBoardTest, ANewcomerHearsWhatTheOthersWereTold)
{
    LoadBoard board;
    board.note(HostId("a"), {.targets = {1, 2}, .inFlight = {5, 7}}, Timestamp {100s});
    (void)board.takeChanges();
    EXPECT_FALSE(board.told().isChange);
    EXPECT_EQ(asMap(board.told()), (std::map<uint64_t, uint32_t> {{1, 5}, {2, 7}}));
}

TEST(NearGatewaysTest, EachGatewayHearsSumsFromOneHost)
{
    const auto host = [](int number, const char* zone, const char* region) {
        return Gateway {
            .host = HostId("r-" + std::to_string(number)), .zone = ZoneName(zone), .region = RegionName(region)};
    };
    const std::vector<Gateway> registry {host(0, "n-a", "n"), host(1, "n-b", "n"), host(2, "s-a", "s")};
    std::vector<Gateway> gateways;
    for (int i = 0; i < 60; ++i)
        gateways.push_back({.host = HostId("g-" + std::to_string(i)),
            .zone = ZoneName(i % 3 == 0 ? "n-a" : (i % 3 == 1 ? "n-c" : "w-a")),
            .region = RegionName(i % 3 == 2 ? "w" : "n")});
    std::map<HostId, int> heard;
    for (const Gateway& self : registry) {
        std::vector<Gateway> others = registry;
        std::erase(others, self);
        NearGateways near(self);
        for (const HostId& gateway : near.update(others, gateways)) {
            ++heard[gateway];
            EXPECT_EQ(near.update(others, gateways).size(), near.update(others, gateways).size());
        }
    }
    EXPECT_EQ(heard.size(), gateways.size());
    for (const auto& [gateway, hosts] : heard)
        EXPECT_EQ(hosts, 1) << gateway.value();
}

} // namespace saltvane::registry::test
