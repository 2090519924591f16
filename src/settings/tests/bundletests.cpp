/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/hostsettings.h"
#include "settings/tests/sampletexts.h"

#include <gtest/gtest.h>

namespace saltvane::settings {
namespace {

using Summary = std::vector<std::string>;

Summary bundleFindings(const std::string& text)
{
    const auto result = parseBundle(text, "bundle.yaml");
    return result ? Summary {} : summaryOf(result.error());
}

struct BundleChange {
    const char* from;
    const char* to;
    const char* finding;
};

TEST(BundleTest, ReadsEveryField)
{
    const auto result = parseBundle(ValidBundle, "bundle.yaml");
    ASSERT_TRUE(result) << toString(result.error().items().front());
    const model::Bundle& bundle = result.value();
    EXPECT_EQ(bundle.deployment, "test");
    EXPECT_EQ(bundle.version, BundleVersion {7});
    EXPECT_EQ(bundle.objective, model::Objective::Headroom);
    EXPECT_EQ(bundle.delays.betweenZones, 1500us);
    EXPECT_EQ(bundle.zones[1].region, RegionName("north"));
    EXPECT_EQ(bundle.regionDelays[0].delay, 3ms);
    EXPECT_EQ(bundle.linkLimits[0].requestsInFlight, 5);
    EXPECT_EQ(bundle.clients[0].prefix, "10.0.0.0/8");
    const model::Service& service = bundle.services[0];
    EXPECT_EQ(service.zones[0].open, 0.5);
    EXPECT_EQ(service.zones[1].open, 1.0);
    EXPECT_EQ(service.shiftCap.share, 0.2);
    EXPECT_EQ(service.shiftCap.window, 30s);
    EXPECT_FALSE(service.failoverCap.has_value());
    EXPECT_EQ(service.repeatable[0].pathPrefix, "/nav");
    EXPECT_EQ(service.defaultDeadline, 500ms);
    EXPECT_EQ(service.maximumDeadline, 60s);
}

TEST(BundleTest, FiveDifferentErrorsGiveFiveFindingsWithTheirLocations)
{
    std::string text = replaceFirst(ValidBundle, "version: 7", "version: seven");
    text = replaceFirst(text, "zones: [n1, n2]", "zones: [n1, n1]");
    text = replaceFirst(text, "10.0.0.0/8", "10.0.0.1/8");
    text = replaceFirst(text, "{zone: n1, open: 0.5}", "{zone: n1, open: 1.5}");
    text = replaceFirst(text, "    shift_cap: {share: 0.2, window_s: 30}\n", "");
    EXPECT_EQ(bundleFindings(text),
        (Summary {"2:10 version", "6:31 regions.zones", "15:16 clients.blocks.prefix", "17:5 services.shift_cap",
            "19:26 services.zones.open"}));
}

TEST(BundleTest, EachErrorGivesExactlyOneFinding)
{
    const std::vector<BundleChange> changes {
        {"deployment: test\n", "", "1:1 deployment"},
        {"deployment: test", "deployment: a b", "1:13 deployment"},
        {"version: 7", "version: 0", "2:10 version"},
        {"version: 7", "version: -7", "2:10 version"},
        {"headroom", "headrom", "3:12 objective"},
        {"between_zones_ms: 1.5", "between_zones_ms: 20000", "4:28 delays.between_zones_ms"},
        {"between_zones_ms", "between_zones_s", "4:10 delays.between_zones_s"},
        {"zones: [s1]}", "zones: [s1]}\n  - {name: a b, zones: [x]}", "8:12 regions.name"},
        {"to: south, delay_ms", "to: west, delay_ms", "9:23 region_delays.to"},
        {"requests_in_flight: 5", "requests_in_flight: 5.5", "11:50 link_limits.requests_in_flight"},
        {"default_region: north", "default_region: nord", "13:19 clients.default_region"},
        {"region: south}\nservices", "region: soth}\nservices", "15:36 clients.blocks.region"},
        {"{zone: n1, open: 0.5}", "n1", "19:9 services.zones"},
        {"{zone: n1, open: 0.5}", "{open: 0.5}", "19:9 services.zones.zone"},
        {"{zone: s1}", "{zone: n1}", "20:16 services.zones.zone"},
        {"share: 0.2", "share: 0", "21:24 services.shift_cap.share"},
        {"window_s: 30", "window_s: 0.5", "21:39 services.shift_cap.window_s"},
        {"window_s: 30", "window_s: {a: b}", "21:39 services.shift_cap.window_s"},
        {"    repeatable", "    failover_cap: {share: 0.1, window_s: 30}\n    repeatable",
            "22:19 services.failover_cap"},
        {"method: GET", "method: Get", "23:18 services.repeatable.method"},
        {"path_prefix: /nav", "path_prefix: nav", "23:36 services.repeatable.path_prefix"},
        {"default_deadline_ms: 500", "default_deadline_ms: 0", "24:26 services.default_deadline_ms"},
        {"default_deadline_ms: 500", "entry_ttl_s: 1e300", "24:18 services.entry_ttl_s"},
    };
    for (const BundleChange& change : changes) {
        const std::string text = replaceFirst(ValidBundle, change.from, change.to);
        EXPECT_EQ(bundleFindings(text), (Summary {change.finding})) << change.from << " -> " << change.to;
    }
}

TEST(BundleTest, UnreadableFileIsReportedAsAFinding)
{
    const auto result = loadBundle(SALTVANE_SOURCE_DIR "/no-such-file.yaml");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().items().size(), 1);
}

} // namespace
} // namespace saltvane::settings
