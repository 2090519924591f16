/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/routedhostsettings.h"

#include <gtest/gtest.h>

namespace saltvane::settings {

namespace {

const std::string Gateway = R"(deployment: d
roles: [gateway]
zone: north-a
region: north
zones: [{zone: north-a, region: north}, {zone: south-a, region: south}]
link_address: "10.0.0.1:7000"
seeds: ["10.0.0.9:8146"]
seed_link_port: 7000
link_key: 0123456789012345678901234567890123456789
front_address: "10.0.0.1:8000"
readiness_address: "10.0.0.1:8001"
headers: {request_id: My-Id}
retry_ratio: 0.2
link_mbps: 4.0
stop_time_limit_s: 6
)";

std::string findingsOf(const std::string& text)
{
    const Result<RoutedHostSettings, Findings> settings = parseRoutedHostSettings(text, "host.yaml");
    std::string all;
    if (!settings) {
        for (const Finding& finding : settings.error().items())
            all += toString(finding) + "\n";
    }
    return all;
}

} // namespace

TEST(RoutedHostTest, ReadsGatewaySettings)
{
    const Result<RoutedHostSettings, Findings> read = parseRoutedHostSettings(Gateway, "host.yaml");
    ASSERT_TRUE(read) << findingsOf(Gateway);
    const RoutedHostSettings& settings = read.value();
    EXPECT_TRUE(settings.isGateway);
    EXPECT_EQ(settings.host(), HostId("10.0.0.1:7000"));
    EXPECT_EQ(settings.seeds.at(0), (model::Address {.ip = "10.0.0.9", .port = 7000}));
    EXPECT_EQ(settings.headers.requestId, "My-Id");
    EXPECT_EQ(settings.headers.deadline, "Saltvane-Deadline-Ms");
    EXPECT_EQ(settings.zones.size(), 2U);
    EXPECT_EQ(settings.limits.stopTimeLimit, 6s);
    EXPECT_EQ(settings.linkListenAddress, settings.linkAddress);
    EXPECT_EQ(settings.limits.requestHeaderBytes, 16U * 1024);
    EXPECT_FALSE(settings.isFirstStart);
}

TEST(RoutedHostTest, ReadsLinkListenAddressAndHeaderLimit)
{
    const std::string text = Gateway + "link_listen_address: \"10.0.0.2:7001\"\nheader_bytes: 2048\n";
    const Result<RoutedHostSettings, Findings> read = parseRoutedHostSettings(text, "host.yaml");
    ASSERT_TRUE(read) << findingsOf(text);
    EXPECT_EQ(read.value().host(), HostId("10.0.0.1:7000"));
    EXPECT_EQ(read.value().linkListenAddress, (model::Address {.ip = "10.0.0.2", .port = 7001}));
    EXPECT_EQ(read.value().limits.requestHeaderBytes, 2048U);
}

TEST(RoutedHostTest, ReadsLimitsInMilliseconds)
{
    const std::string text = Gateway + "leave_limit_ms: 2000\nplan_limit_ms: 2500\n";
    const Result<RoutedHostSettings, Findings> read = parseRoutedHostSettings(text, "host.yaml");
    ASSERT_TRUE(read) << findingsOf(text);
    EXPECT_EQ(read.value().leaveLimit, 2s);
    EXPECT_EQ(read.value().planLimit, 2500ms);
}

/// Guards against limits that are a thousand times too long or too short.
TEST(RoutedHostTest, LimitsInTheWrongUnitAreFindings)
{
    for (const std::string seconds : {"2", "2.5", "4"}) {
        const std::string milliseconds = std::to_string(std::stoi(seconds) * 1'000'000);
        for (const std::string key : {"leave_limit_ms", "plan_limit_ms"}) {
            EXPECT_NE(findingsOf(Gateway + key + ": " + seconds + "\n").find("host.yaml:16:"), std::string::npos);
            EXPECT_NE(findingsOf(Gateway + key + ": " + milliseconds + "\n").find(key), std::string::npos);
        }
    }
    EXPECT_NE(findingsOf(Gateway + "leave_limit_s: 2\n").find("leave_limit_s"), std::string::npos);
    std::string stop = Gateway;
    stop.replace(stop.find("stop_time_limit_s: 6"), 20, "stop_time_limit_s: 6000");
    EXPECT_NE(findingsOf(stop).find("stop_time_limit_s"), std::string::npos);
}

TEST(RoutedHostTest, ReportsErrorsWithTheirLocations)
{
    EXPECT_NE(findingsOf(Gateway + "colour: red\n").find("host.yaml:16"), std::string::npos);
    EXPECT_NE(findingsOf(Gateway + "first_start: maybe\n").find("first_start"), std::string::npos);
    std::string registry = Gateway;
    registry.replace(registry.find("[gateway]"), 9, "[registry]");
    EXPECT_NE(findingsOf(registry).find("control_address"), std::string::npos);
    EXPECT_NE(findingsOf(registry).find("data_folder"), std::string::npos);
    std::string both = Gateway;
    both.replace(both.find("[gateway]"), 9, "[gateway, registry]");
    EXPECT_NE(findingsOf(both).find("roles"), std::string::npos);
    std::string shortKey = Gateway;
    shortKey.replace(shortKey.find("0123456789012"), 40, "short");
    EXPECT_NE(findingsOf(shortKey).find("link_key"), std::string::npos);
}

} // namespace saltvane::settings
