/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/tests/bundles.h"

#include <cmath>
#include <functional>
#include <gtest/gtest.h>

namespace saltvane::model {
namespace {

const std::string ExampleKey = std::string(43, 'A') + "=";

/// A change that makes a valid bundle invalid, and the field of the only finding that it must cause.
struct InvalidBundle {
    const char* field;
    std::function<void(Bundle&)> apply;
};

std::vector<InvalidBundle> invalidBundles()
{
    return {
        {"deployment", [](Bundle& b) { b.deployment = ""; }},
        {"deployment", [](Bundle& b) { b.deployment = "two words"; }},
        {"version", [](Bundle& b) { b.version = {0}; }},
        {"delays.between_zones_ms", [](Bundle& b) { b.delays.betweenZones = -1ms; }},
        {"delays.to_clients_ms", [](Bundle& b) { b.delays.toClients = 11s; }},
        {"regions.name", [](Bundle& b) { b.regions.push_back(b.regions.front()); }},
        {"regions.zones", [](Bundle& b) { b.regions.push_back({.name = RegionName("empty")}); }},
        {"regions.zones", [](Bundle& b) { b.zones.push_back(b.zones.front()); }},
        {"regions.zones", [](Bundle& b) { b.zones[2].region = RegionName("west"); }},
        {"region_delays",
            [](Bundle& b) {
                b.regionDelays = {{RegionName("north"), RegionName("north"), 1ms}};
            }},
        {"region_delays.to",
            [](Bundle& b) {
                b.regionDelays = {{RegionName("north"), RegionName("x"), 1ms}};
            }},
        {"link_limits",
            [](Bundle& b) {
                b.linkLimits.assign(2, {RegionName("north"), RegionName("south"), 4, {}});
            }},
        {"clients.default_region", [](Bundle& b) { b.defaultClientRegion = RegionName(""); }},
        {"clients.blocks.prefix",
            [](Bundle& b) {
                b.clients = {{"10.0.0.0/40", RegionName("north"), {}}};
            }},
        {"clients.blocks.prefix",
            [](Bundle& b) {
                b.clients.assign(2, {"10.0.0.0/8", RegionName("north"), {}});
            }},
        {"clients.blocks.region",
            [](Bundle& b) {
                b.clients = {{"10.0.0.0/8", RegionName("west"), {}}};
            }},
        {"services", [](Bundle& b) { b.services.clear(); }},
        {"services.name", [](Bundle& b) { b.services.push_back(b.services.front()); }},
        {"services.zones.zone", [](Bundle& b) { b.services[0].zones[1].zone = ZoneName("x"); }},
        {"services.zones.zone", [](Bundle& b) { b.services[0].zones[1].zone = ZoneName("n1"); }},
        {"services.zones.open", [](Bundle& b) { b.services[0].zones[1].open = 1.01; }},
        {"services.zones.open", [](Bundle& b) { b.services[0].zones[1].open = std::nan(""); }},
        {"services.zones", [](Bundle& b) { b.services[0].zones.clear(); }},
        {"services.zones", [](Bundle& b) { b.services[0].zones = {{.zone = ZoneName("n1"), .open = 0}}; }},
        {"services.shift_cap.share", [](Bundle& b) { b.services[0].shiftCap.share = 0; }},
        {"services.shift_cap.share", [](Bundle& b) { b.services[0].shiftCap.share = 1.5; }},
        {"services.shift_cap.window_s", [](Bundle& b) { b.services[0].shiftCap.window = 0s; }},
        {"services.failover_cap", [](Bundle& b) { b.services[0].failoverCap = {.share = 0.1, .window = 11s}; }},
        {"services.repeatable.method", [](Bundle& b) { b.services[0].repeatable[0].method = "get"; }},
        {"services.repeatable.path_prefix", [](Bundle& b) { b.services[0].repeatable[0].pathPrefix = ""; }},
        {"services.default_deadline_ms", [](Bundle& b) { b.services[0].defaultDeadline = 61s; }},
        {"services.maximum_deadline_ms", [](Bundle& b) { b.services[0].maximumDeadline = 2h; }},
        {"services.entry_ttl_s", [](Bundle& b) { b.services[0].entryTtl = 0s; }},
        {"services.key_retention_h", [](Bundle& b) { b.services[0].keyRetention = 721h; }},
        {"operators",
            [](Bundle& b) {
                b.operators = {{OperatorName("ana"), ExampleKey, {}}};
            }},
        {"operators.name",
            [](Bundle& b) {
                b.operators
                    = {{OperatorName("ana"), ExampleKey, {}}, {OperatorName("ana"), "B" + ExampleKey.substr(1), {}}};
            }},
        {"operators.public_key",
            [](Bundle& b) {
                b.operators = {{OperatorName("ana"), ExampleKey, {}}, {OperatorName("luz"), ExampleKey, {}}};
            }},
        {"operators.public_key",
            [](Bundle& b) {
                b.operators = {{OperatorName("ana"), ExampleKey, {}}, {OperatorName("luz"), "short", {}}};
            }},
    };
}

TEST(CheckBundleTest, ValidBundleHasNoFindings)
{
    Bundle bundle = makeBundle();
    bundle.services[0].failoverCap = ShiftCap {.share = 1, .window = 1s};
    bundle.operators = {{OperatorName("ana"), ExampleKey, {}}, {OperatorName("luz"), "B" + ExampleKey.substr(1), {}}};
    EXPECT_TRUE(checkBundle(bundle).isEmpty());
}

TEST(CheckBundleTest, EachInvalidChangeGivesExactlyOneFinding)
{
    for (const InvalidBundle& invalid : invalidBundles()) {
        Bundle bundle = makeBundle();
        invalid.apply(bundle);
        const Findings findings = checkBundle(bundle);
        ASSERT_EQ(findings.items().size(), 1) << invalid.field;
        EXPECT_EQ(findings.items()[0].field, invalid.field);
        EXPECT_FALSE(findings.items()[0].message.empty());
    }
}

TEST(CheckBundleTest, AllFindingsAreReportedAtOnceWithTheirLocations)
{
    Bundle bundle = makeBundle();
    bundle.version = {0};
    bundle.zones[2].location = {.source = "b.yaml", .line = 9, .column = 3};
    bundle.zones[2].region = RegionName("west");
    bundle.services[0].entryTtl = 0s;
    bundle.services[0].location = {.source = "b.yaml", .line = 20, .column = 5};
    const Findings findings = checkBundle(bundle);
    ASSERT_EQ(findings.items().size(), 3);
    EXPECT_EQ(findings.items()[1].location, bundle.zones[2].location);
    EXPECT_EQ(findings.items()[2].location, bundle.services[0].location);
}

TEST(CheckBundleTest, EmptyBundleHasFindings) { EXPECT_FALSE(checkBundle(Bundle {}).isEmpty()); }

} // namespace
} // namespace saltvane::model
