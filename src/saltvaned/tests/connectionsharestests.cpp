/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/connectionshares.h"

#include "net/inetadapters.h"

#include <array>
#include <gtest/gtest.h>
#include <vector>

namespace saltvane::saltvaned {
namespace {

constexpr uint64_t Megabyte = 1024 * 1024;

ConnectionResources gatewayWith(uint64_t descriptors, uint64_t memoryBytes)
{
    return {.descriptors = descriptors,
        .memoryBytes = memoryBytes,
        .headerBytes = 16 * 1024,
        .limit = 4096,
        .callerWeights = 1,
        .operatorAddresses = 2};
}

ConnectionResources registryWith(uint64_t descriptors, uint64_t memoryBytes)
{
    return {.descriptors = descriptors,
        .memoryBytes = memoryBytes,
        .headerBytes = 4 * 1024,
        .limit = 4096,
        .callerWeights = 3,
        .operatorAddresses = 1};
}

uint64_t acceptedByAll(const ConnectionResources& resources, const std::vector<uint32_t>& weights)
{
    uint64_t accepted = resources.operatorAddresses * net::acceptedConnections(operatorConnections(resources));
    for (const uint32_t weight : weights)
        accepted += net::acceptedConnections(callerConnections(resources, weight));
    return accepted;
}

} // namespace

// Guards against a full house of callers that leaves no descriptor for links, targets and files.
TEST(ConnectionSharesTest, CallersLeaveHalfOfTheDescriptors)
{
    for (const uint64_t descriptors : {256, 1024, 4096, 65536}) {
        EXPECT_LE(acceptedByAll(gatewayWith(descriptors, 4096 * Megabyte), {1}), descriptors / 2) << descriptors;
        EXPECT_LE(acceptedByAll(registryWith(descriptors, 4096 * Megabyte), {2, 1}), descriptors / 2) << descriptors;
    }
}

// Guards against pools of idle connections that take the memory of a small host.
TEST(ConnectionSharesTest, PoolsLeaveThreeQuartersOfTheMemory)
{
    for (const uint64_t megabytes : {64, 160, 256, 1024}) {
        const uint64_t memory = megabytes * Megabyte;
        EXPECT_LE(acceptedByAll(gatewayWith(65536, memory), {1}) * net::connectionPoolBytes(16 * 1024), memory / 4);
        EXPECT_LE(acceptedByAll(registryWith(65536, memory), {2, 1}) * net::connectionPoolBytes(4 * 1024), memory / 4);
    }
}

// Guards against a derived limit above the setting, and against addresses that accept nobody.
TEST(ConnectionSharesTest, KeepsTheSettingAndServesEachAddress)
{
    ConnectionResources resources = gatewayWith(1'000'000, 100'000 * Megabyte);
    EXPECT_EQ(callerConnections(resources, 1), resources.limit);
    resources.limit = 16;
    EXPECT_EQ(callerConnections(resources, 1), 16u);
    EXPECT_EQ(operatorConnections(resources), 16u);
    const ConnectionResources smallest = gatewayWith(16, Megabyte);
    EXPECT_GE(callerConnections(smallest, 1), 2u);
    EXPECT_GE(operatorConnections(smallest), 2u);
}

// Guards against limits that differ from those in docs/SETTINGS.md.
TEST(ConnectionSharesTest, FiguresOfTheSettingsPage)
{
    struct Row {
        uint64_t descriptors;
        uint64_t megabytes;
        std::array<uint32_t, 2> gateway; ///< Callers, each operators' address.
        std::array<uint32_t, 3> registry; ///< Control address, look-ups, operators' address.
    };
    const std::vector<Row> rows {
        {256, 256, {100, 6}, {71, 36, 6}},
        {4096, 256, {1856, 57}, {1258, 597, 57}},
        {65536, 256, {2538, 57}, {3534, 1735, 57}},
        {65536, 1024, {4096, 57}, {4096, 4096, 57}},
        {4096, 64, {534, 38}, {803, 385, 57}},
    };
    for (const Row& row : rows) {
        const ConnectionResources gateway = gatewayWith(row.descriptors, row.megabytes * Megabyte);
        const ConnectionResources registry = registryWith(row.descriptors, row.megabytes * Megabyte);
        const std::array ofGateway {callerConnections(gateway, 1), operatorConnections(gateway)};
        const std::array ofRegistry {
            callerConnections(registry, 2), callerConnections(registry, 1), operatorConnections(registry)};
        EXPECT_EQ(ofGateway, row.gateway) << row.descriptors << " " << row.megabytes;
        EXPECT_EQ(ofRegistry, row.registry) << row.descriptors << " " << row.megabytes;
    }
}

} // namespace saltvane::saltvaned
