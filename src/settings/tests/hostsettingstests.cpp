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

Summary hostFindings(const std::string& text)
{
    const auto result = parseHostSettings(text, "host.yaml");
    return result ? Summary {} : summaryOf(result.error());
}

struct HostChange {
    const char* from;
    const char* to;
    const char* finding;
};

TEST(HostSettingsTest, ReadsEveryField)
{
    const auto result = parseHostSettings(ValidHost, "host.yaml");
    ASSERT_TRUE(result) << toString(result.error().items().front());
    const HostSettings& settings = result.value();
    EXPECT_EQ(settings.deployment, "test");
    EXPECT_EQ(settings.host, HostId("n1-1"));
    EXPECT_EQ(settings.zone, ZoneName("n1"));
    EXPECT_EQ(settings.region, RegionName("north"));
    EXPECT_TRUE(settings.isEntry && settings.isControl);
    EXPECT_EQ(toString(settings.entryAddress), "127.0.0.1:18080");
    EXPECT_EQ(toString(settings.linkAddress), "127.0.0.1:18081");
    ASSERT_EQ(settings.seeds.size(), 1);
    ASSERT_EQ(settings.controlHosts.size(), 2);
    EXPECT_EQ(settings.controlHosts[1].host, HostId("s1-1"));
    EXPECT_EQ(settings.dataFolder, "run/n1-1");
    EXPECT_EQ(settings.linkKey, "0123456789abcdef0123456789abcdef");
    EXPECT_EQ(settings.tokenKey, "fedcba9876543210fedcba9876543210");
    EXPECT_EQ(settings.announceKeys[0].secret, "0123456789abcdef");
    EXPECT_EQ(settings.operators[1].name, OperatorName("luz"));
    EXPECT_EQ(settings.limits.connections, 100);
    EXPECT_EQ(settings.limits.idleTimeout, 2500ms);
    EXPECT_EQ(settings.limits.headerTimeout, Limits {}.headerTimeout);
}

TEST(HostSettingsTest, FiveErrorsGiveFiveFindingsWithTheirLocations)
{
    const std::string text = R"(deployment: test
host: n1-1
zone: n1
roles: [entry, contrl]
entry_address: 127.0.0.1:99999
link_address: 127.0.0.1:18081
control_hosts:
  - {host: s1-1, link_address: "127.0.0.2:18081", port: 1}
link_key: short
token_key: fedcba9876543210fedcba9876543210
)";
    EXPECT_EQ(hostFindings(text),
        (Summary {"1:1 region", "4:16 roles", "5:16 entry_address", "8:51 control_hosts.port", "9:11 link_key"}));
}

TEST(HostSettingsTest, EachErrorGivesExactlyOneFinding)
{
    const std::vector<HostChange> changes {
        {"host: n1-1\nzone", "host: n1-1\nhost: n1-1\nzone", "3:1 host"},
        {"zone: n1", "zone: [n1]", "3:7 zone"},
        {"zone: n1", "zone:", "3:1 zone"},
        {"zone: n1", "zone: n 1", "3:7 zone"},
        {"deployment: test", "deployment: ../x", "1:13 deployment"},
        {"roles: [entry, control]", "roles: [entry, control, entry]", "5:25 roles"},
        {"roles: [entry, control]", "roles: entry, control", "5:8 roles"},
        {"roles: [entry, control]", "roles: []", "5:8 roles"},
        {"data_folder: run/n1-1\n", "", "1:1 data_folder"},
        {"127.0.0.1:18080", "localhost:18080", "6:16 entry_address"},
        {"127.0.0.1:18080", "0.0.0.0:18080", "6:16 entry_address"},
        {"127.0.0.1:18080", "127.0.0.1:18081", "7:15 link_address"},
        {"[127.0.0.2:18081]", "[127.0.0.2:18081, 127.0.0.3]", "8:26 seeds"},
        {"seeds: [127.0.0.2:18081]", "seeds: {a: b}", "8:8 seeds"},
        {"s1-1", "n1-1", "11:12 control_hosts.host"},
        {"127.0.0.2:18081\"", "127.0.0.1:18081\"", "11:32 control_hosts.link_address"},
        {"  - {host: n1-1, link_address: \"127.0.0.1:18081\"}\n", "", "10:3 control_hosts"},
        {"{host: n1-1, link_address: \"127.0.0.1:18081\"}", "{host: n1-1, link_address: \"127.0.0.1:1\"}",
            "10:3 control_hosts"},
        {"fedcba9876543210fedcba9876543210", "0123456789abcdef0123456789abcdef", "14:12 token_key"},
        {"secret: 0123456789abcdef", "secret: \"0123456789 abcdef\"", "16:31 announce_keys.secret"},
        {"name: luz", "name: ana", "19:12 operators.name"},
        {"  - {name: luz, public_key: \"BAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"}\n", "", "18:3 operators"},
        {"\"BAAAA", "\"BAAA", "19:29 operators.public_key"},
        {"connections: 100", "connections: 1e2", "21:16 limits.connections"},
        {"connections: 100", "connections: \"100\"", "21:16 limits.connections"},
        {"connections: 100", "connections: 99999999999999999999", "21:16 limits.connections"},
        {"connections: 100", "conections: 100", "21:3 limits.conections"},
        {"idle_timeout_s: 2.5", "idle_timeout_s: .nan", "22:19 limits.idle_timeout_s"},
        {"idle_timeout_s: 2.5", "idle_timeout_s: -1", "22:19 limits.idle_timeout_s"},
        {"limits:", "? [a]\n: b\nlimits:", "20:3 "},
    };
    for (const HostChange& change : changes) {
        const std::string text = replaceFirst(ValidHost, change.from, change.to);
        EXPECT_EQ(hostFindings(text), (Summary {change.finding})) << change.from << " -> " << change.to;
    }
}

TEST(HostSettingsTest, HostWithoutControlRoleNeedsNoDataFolder)
{
    std::string text = replaceFirst(ValidHost, "[entry, control]", "[entry]");
    text = replaceFirst(text, "data_folder: run/n1-1\n", "");
    EXPECT_EQ(hostFindings(text), (Summary {"10:3 control_hosts"}));
    text = replaceFirst(text, "  - {host: n1-1, link_address: \"127.0.0.1:18081\"}\n", "");
    EXPECT_EQ(hostFindings(text), Summary {});
}

TEST(HostSettingsTest, MessagesNeverContainSecrets)
{
    const auto result
        = parseHostSettings(replaceFirst(ValidHost, "0123456789abcdef0123456789abcdef", "hush"), "host.yaml");
    ASSERT_FALSE(result);
    EXPECT_EQ(toString(result.error().items().front()), "host.yaml:13:11: link_key: must have at least 32 bytes");
}

TEST(HostSettingsTest, UnparsableTextGivesOneFindingWithItsLocation)
{
    EXPECT_EQ(hostFindings("deployment: test\nhost: [a, b\nzone: x"), (Summary {"3:5 "}));
    EXPECT_EQ(hostFindings(""), (Summary {"1:1 "}));
    EXPECT_EQ(hostFindings("- a"), (Summary {"1:1 "}));
    EXPECT_EQ(hostFindings(","), (Summary {"1:1 "})); // YAML::LoadAll() would return documents endlessly.
    EXPECT_EQ(hostFindings("host: &a x\nzone: *a"), (Summary {"2:7 "}));
    EXPECT_EQ(hostFindings("a: b\n---\nc: d"), (Summary {"1:1 "}));
    EXPECT_EQ(hostFindings(std::string(100000, '[')).size(), 1);
}

TEST(HostSettingsTest, UnreadableFileIsReportedAsAFinding)
{
    for (const std::string path : {SALTVANE_SOURCE_DIR "/no-such-file.yaml", SALTVANE_SOURCE_DIR}) {
        const auto result = loadHostSettings(path);
        ASSERT_FALSE(result) << path;
        ASSERT_EQ(result.error().items().size(), 1);
        EXPECT_EQ(result.error().items()[0].location.source, path);
        EXPECT_TRUE(result.error().items()[0].message.starts_with("cannot be read"));
    }
}

} // namespace
} // namespace saltvane::settings
