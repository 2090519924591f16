/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/hostsettings.h"

#include <algorithm>
#include <filesystem>
#include <gtest/gtest.h>
#include <set>

namespace saltvane::settings {
namespace {

constexpr size_t HostCount = 9;
constexpr size_t ControlCount = 3;

std::string textOf(const Findings& findings)
{
    std::string text;
    for (const Finding& finding : findings.items())
        text += toString(finding) + "\n";
    return text;
}

/// Checks the example deployments in deployments/.
class ExampleDeploymentTest : public testing::TestWithParam<const char*> {
protected:
    [[nodiscard]] std::filesystem::path folder() const
    {
        return std::filesystem::path(SALTVANE_SOURCE_DIR) / "deployments" / GetParam();
    }

    [[nodiscard]] std::vector<std::string> filesIn(const char* part) const
    {
        std::vector<std::string> files;
        for (const auto& entry : std::filesystem::directory_iterator(folder() / part))
            files.push_back(entry.path().string());
        std::sort(files.begin(), files.end());
        return files;
    }

    [[nodiscard]] std::vector<HostSettings> hosts() const
    {
        std::vector<HostSettings> result;
        for (const std::string& file : filesIn("hosts")) {
            const auto settings = loadHostSettings(file);
            EXPECT_TRUE(settings) << textOf(settings.error());
            if (settings)
                result.push_back(settings.value());
        }
        return result;
    }
};

TEST_P(ExampleDeploymentTest, BundlesAreValidAndNumberedInSequence)
{
    uint64_t version = 0;
    for (const std::string& file : filesIn("bundles")) {
        const auto bundle = loadBundle(file);
        ASSERT_TRUE(bundle) << textOf(bundle.error());
        EXPECT_EQ(bundle.value().deployment, GetParam());
        EXPECT_EQ(bundle.value().version.value, ++version);
        EXPECT_EQ(bundle.value().zones.size(), 6);
    }
    EXPECT_EQ(version, 2);
}

TEST_P(ExampleDeploymentTest, HostSettingsAreConsistentWithEachOtherAndTheBundle)
{
    const auto bundle = loadBundle((folder() / "bundles/0001.yaml").string());
    ASSERT_TRUE(bundle);
    std::set<model::Address> addresses;
    std::set<RegionName> controlRegions;
    const std::vector<HostSettings> all = hosts();
    for (const HostSettings& host : all) {
        const auto& zones = bundle.value().zones;
        EXPECT_TRUE(std::any_of(zones.begin(), zones.end(), [&](const model::Zone& zone) {
            return zone.name == host.zone && zone.region == host.region;
        })) << host.host.value();
        EXPECT_TRUE(addresses.insert(host.entryAddress).second);
        EXPECT_TRUE(addresses.insert(host.linkAddress).second);
        EXPECT_EQ(host.linkKey, all.front().linkKey);
        EXPECT_EQ(host.announceKeys.size(), bundle.value().services.size());
        if (host.isControl)
            controlRegions.insert(host.region);
    }
    EXPECT_EQ(all.size(), HostCount);
    EXPECT_EQ(controlRegions.size(), ControlCount);
}

INSTANTIATE_TEST_SUITE_P(Committed, ExampleDeploymentTest, testing::Values("valoria", "magnolia"));

} // namespace
} // namespace saltvane::settings
