/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/deployment.h"
#include "model/internal/addressprefix.h"
#include "model/tests/bundles.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>
#include <set>

namespace saltvane::model {
namespace {

constexpr RegionIndex North {0};
constexpr RegionIndex South {1};
constexpr ServiceIndex Prices {0};

Deployment compile(Bundle bundle) { return {std::move(bundle), {.term = {1}, .index = {2}}}; }

Deployment deploymentWithBlocks(std::vector<ClientBlock> blocks)
{
    Bundle bundle = makeBundle();
    bundle.clients = std::move(blocks);
    return compile(std::move(bundle));
}

std::string ipv4Text(uint32_t number)
{
    return std::to_string(number >> 24) + "." + std::to_string(number >> 16 & 255) + "."
        + std::to_string(number >> 8 & 255) + "." + std::to_string(number & 255);
}

TEST(DeploymentTest, FindsZonesRegionsAndOpenSharesOfTheBundle)
{
    const Deployment deployment = compile(makeBundle());
    EXPECT_EQ(deployment.findZone(ZoneName("n2")), ZoneIndex {2});
    EXPECT_EQ(deployment.findZone(ZoneName("north")), std::nullopt);
    EXPECT_EQ(deployment.regionOf({1}), South);
    EXPECT_EQ(deployment.openShare(Prices, {0}), 1.0);
    EXPECT_EQ(deployment.openShare(Prices, {1}), 0.5);
    EXPECT_EQ(deployment.openShare(Prices, {2}), 0.0);
}

TEST(DeploymentTest, ZonesAreOrderedByDelayThenIndex)
{
    const Deployment deployment = compile(makeBundle());
    const auto fromNorth = deployment.zonesByDelay(North);
    const auto fromSouth = deployment.zonesByDelay(South);
    EXPECT_EQ(std::vector(fromNorth.begin(), fromNorth.end()), (std::vector<ZoneIndex> {{0}, {2}, {1}}));
    EXPECT_EQ(std::vector(fromSouth.begin(), fromSouth.end()), (std::vector<ZoneIndex> {{1}, {0}, {2}}));
}

TEST(DeploymentTest, DelayAppliesToBothDirectionsUnlessBothAreConfigured)
{
    Bundle bundle = makeBundle();
    bundle.regionDelays = {{.from = RegionName("north"), .to = RegionName("south"), .delay = 7ms}};
    EXPECT_EQ(compile(bundle).delay(South, North), 7ms);
    bundle.regionDelays.push_back({.from = RegionName("south"), .to = RegionName("north"), .delay = 9ms});
    const Deployment deployment = compile(bundle);
    EXPECT_EQ(deployment.delay(South, North), 9ms);
    EXPECT_EQ(deployment.delay(North, South), 7ms);
    EXPECT_EQ(deployment.delay(ZoneIndex {0}, ZoneIndex {2}), 1ms);
    EXPECT_EQ(deployment.delay(ZoneIndex {0}, ZoneIndex {0}), 0ms);
}

TEST(DeploymentTest, LinkLimitAppliesToOneDirection)
{
    Bundle bundle = makeBundle();
    bundle.linkLimits = {{.from = RegionName("north"), .to = RegionName("south"), .requestsInFlight = 5}};
    const Deployment deployment = compile(bundle);
    EXPECT_EQ(deployment.linkLimit(North, South), 5);
    EXPECT_EQ(deployment.linkLimit(South, North), std::nullopt);
}

TEST(DeploymentTest, RepeatableRulesMatchWholeSegmentsOfUnambiguousPaths)
{
    const Deployment deployment = compile(makeBundle());
    EXPECT_TRUE(deployment.isRepeatable(Prices, "GET", "/nav"));
    EXPECT_TRUE(deployment.isRepeatable(Prices, "GET", "/nav/fund?day=../1"));
    EXPECT_FALSE(deployment.isRepeatable(Prices, "POST", "/nav"));
    EXPECT_FALSE(deployment.isRepeatable(Prices, "GET", "/navigate"));
    EXPECT_FALSE(deployment.isRepeatable(Prices, "GET", "/nav/../corrections"));
    EXPECT_FALSE(deployment.isRepeatable(Prices, "GET", "/nav/%2e%2E/corrections"));
    EXPECT_FALSE(deployment.isRepeatable(Prices, "GET", ""));
}

TEST(ClientRegionTest, LongestPrefixMatches)
{
    const Deployment deployment = deploymentWithBlocks({{.prefix = "10.0.0.0/8", .region = RegionName("north")},
        {.prefix = "10.1.0.0/16", .region = RegionName("south")},
        {.prefix = "10.1.2.0/24", .region = RegionName("north")},
        {.prefix = "10.1.2.255/32", .region = RegionName("south")}});
    EXPECT_EQ(deployment.clientRegion("10.0.255.255"), North);
    EXPECT_EQ(deployment.clientRegion("10.1.0.0"), South);
    EXPECT_EQ(deployment.clientRegion("10.1.2.254"), North);
    EXPECT_EQ(deployment.clientRegion("10.1.2.255"), South);
    EXPECT_EQ(deployment.clientRegion("10.1.3.0"), South);
    EXPECT_EQ(deployment.clientRegion("10.2.0.0"), North);
    EXPECT_EQ(deployment.clientRegion("11.0.0.0"), South);
}

TEST(ClientRegionTest, AddressFamiliesAreSeparate)
{
    const Deployment deployment = deploymentWithBlocks({{.prefix = "::/0", .region = RegionName("north")},
        {.prefix = "2001:db8:8000::/33", .region = RegionName("south")},
        {.prefix = "255.255.255.255/32", .region = RegionName("north")}});
    EXPECT_EQ(deployment.clientRegion("2001:db8:7fff::"), North);
    EXPECT_EQ(deployment.clientRegion("2001:db8:ffff::1"), South);
    EXPECT_EQ(deployment.clientRegion("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff"), North);
    EXPECT_EQ(deployment.clientRegion("9.9.9.9"), South);
    EXPECT_EQ(deployment.clientRegion("::ffff:9.9.9.9"), South);
    EXPECT_EQ(deployment.clientRegion("::ffff:255.255.255.255"), North);
    EXPECT_EQ(deployment.clientRegion("255.255.255.254"), South);
}

TEST(ClientRegionTest, InvalidAddressMapsToTheDefaultRegion)
{
    const Deployment deployment = deploymentWithBlocks({{.prefix = "0.0.0.0/0", .region = RegionName("north")}});
    EXPECT_EQ(deployment.clientRegion("1.2.3.4"), North);
    for (const char* text : {"", "1.2.3", "1.2.3.4 ", "example", "fe80::1%eth0", "::1::"})
        EXPECT_EQ(deployment.clientRegion(text), South) << text;
    EXPECT_EQ(deployment.clientRegion(std::string(4096, '1')), South);
    EXPECT_EQ(deployment.clientRegion(std::string_view("1.2.3.4\0x", 9)), South);
}

TEST(ClientRegionTest, MatchesALinearSearchOverRandomBlocks)
{
    boost::random::mt19937 random(20260714);
    const auto draw
        = [&](uint32_t maximum) { return boost::random::uniform_int_distribution<uint32_t>(0, maximum)(random); };
    struct Block {
        uint32_t address;
        uint32_t length;
        bool isNorth;
    };
    std::vector<Block> blocks;
    std::vector<ClientBlock> clients;
    std::set<std::pair<uint32_t, uint32_t>> seen;
    for (int i = 0; i < 400; ++i) {
        const uint32_t length = draw(32);
        const uint32_t mask = length == 0 ? 0 : ~uint32_t {0} << (32 - length);
        const Block block {.address = (10U << 24 | draw(0x00ffffff)) & mask, .length = length, .isNorth = draw(1) == 0};
        if (!seen.insert({block.address, length}).second)
            continue;
        blocks.push_back(block);
        clients.push_back({.prefix = ipv4Text(block.address) + "/" + std::to_string(length),
            .region = RegionName(block.isNorth ? "north" : "south")});
    }
    const Deployment deployment = deploymentWithBlocks(clients);
    for (int i = 0; i < 4000; ++i) {
        const Block& nearby = blocks[draw(static_cast<uint32_t>(blocks.size() - 1))];
        const uint32_t address
            = nearby.address + draw(2) - 1 + (draw(1) == 0 ? 0 : 1U << (32 - std::max(nearby.length, 1U)));
        int longestMatch = -1;
        RegionIndex expected = South;
        for (const Block& block : blocks) {
            const uint32_t mask = block.length == 0 ? 0 : ~uint32_t {0} << (32 - block.length);
            if ((address & mask) != block.address || static_cast<int>(block.length) <= longestMatch)
                continue;
            longestMatch = static_cast<int>(block.length);
            expected = block.isNorth ? North : South;
        }
        EXPECT_EQ(deployment.clientRegion(ipv4Text(address)), expected) << ipv4Text(address);
    }
}

TEST(AddressPrefixTest, RejectsInvalidBlocks)
{
    for (const char* text : {"10.0.0.0", "10.0.0.0/", "10.0.0.0/33", "10.0.0.0/-1", "10.0.0.1/8", "::/129",
             "2001:db8::1/64", "/8", "10.0.0.0/8x", "10.0.0.0/+8", "::ffff:10.0.0.0/8"})
        EXPECT_FALSE(parseAddressPrefix(text)) << text;
    EXPECT_TRUE(parseAddressPrefix("0.0.0.0/0"));
    EXPECT_TRUE(parseAddressPrefix("2001:db8::1/128"));
}

} // namespace
} // namespace saltvane::model
