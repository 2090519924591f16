/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/internal/textfile.h"
#include "settings/internal/yamlreader.h"
#include "settings/routedhostsettings.h"

#include <algorithm>
#include <array>
#include <utility>

namespace saltvane::settings {

namespace {

constexpr size_t MinKeyBytes = 32;
constexpr IntegerRange PortRange {.minimum = 1, .maximum = 65535};
constexpr IntegerRange HeaderBytesRange {.minimum = 1024, .maximum = 1024 * 1024};
constexpr uint64_t DefaultGatewayHeaderBytes = 16 * 1024; ///< The default limit of plans.
constexpr uint64_t DefaultRegistryHeaderBytes = 4 * 1024;
constexpr uint64_t BytesPerMegabyte = 1024 * 1024;
constexpr IntegerRange MemoryRange {.minimum = 16, .maximum = 1024 * 1024}; ///< Megabytes.
constexpr DurationRange TtlRange {.minimum = 100ms, .maximum = 1h};
// Narrower than a factor of 1000, so that a limit in the wrong unit is a finding.
constexpr DurationRange PropagationLimitRange {.minimum = 500ms, .maximum = 60s};
constexpr DurationRange StopTimeLimitRange {.minimum = 1s, .maximum = 10min};

constexpr double MaxRolloutShare = 0.5;

struct HeaderField {
    std::string_view key;
    std::string HeaderNames::*name;
};
constexpr std::array HeaderFields {
    HeaderField {"request_id", &HeaderNames::requestId},
    HeaderField {"deadline", &HeaderNames::deadline},
    HeaderField {"object", &HeaderNames::object},
    HeaderField {"client_key", &HeaderNames::clientKey},
    HeaderField {"client_account", &HeaderNames::clientAccount},
    HeaderField {"expected_target", &HeaderNames::expectedTarget},
    HeaderField {"target_id", &HeaderNames::targetId},
    HeaderField {"load", &HeaderNames::load},
    HeaderField {"not_run", &HeaderNames::notRun},
    HeaderField {"limit", &HeaderNames::limit},
    HeaderField {"leaving", &HeaderNames::leaving},
    HeaderField {"slow_start_left_ms", &HeaderNames::slowStartLeftMs},
    HeaderField {"plan_base", &HeaderNames::planBase},
};

class RoutedHostParser {
public:
    explicit RoutedHostParser(YamlReader& root)
        : root_(root)
    {
    }

    RoutedHostSettings parse()
    {
        readRoles();
        readZones();
        readAddresses();
        readSeeds();
        readHeaders();
        readLimits();
        root_.reportUnknownKeys();
        return std::move(settings_);
    }

private:
    void readRoles()
    {
        settings_.deployment = root_.text("deployment");
        for (const LocatedText& role : root_.texts("roles", Presence::Required)) {
            settings_.isGateway = settings_.isGateway || role.text == "gateway";
            settings_.isRegistry = settings_.isRegistry || role.text == "registry";
            if (role.text != "gateway" && role.text != "registry")
                root_.addItemFinding("roles", role.location, "must be gateway or registry");
        }
        if (settings_.isGateway == settings_.isRegistry)
            root_.addFinding("roles", "must name one of gateway and registry");
        settings_.isFirstStart = readFlag("first_start");
        settings_.dataFolder = root_.text("data_folder", "");
        if (settings_.isRegistry && settings_.dataFolder.empty())
            root_.addFinding("data_folder", "is required by the registry role");
        settings_.linkKey = root_.text("link_key");
        if (settings_.linkKey.size() < MinKeyBytes)
            root_.addFinding("link_key", "must have at least 32 bytes");
    }

    bool readFlag(std::string_view key)
    {
        const std::string text = root_.text(key, "false");
        if (text != "true" && text != "false")
            root_.addFinding(key, "must be true or false");
        return text == "true";
    }

    void readZones()
    {
        settings_.zone = ZoneName(root_.text("zone"));
        settings_.region = RegionName(root_.text("region"));
        for (YamlReader& entry : root_.mappings("zones", Presence::Required)) {
            settings_.zones.emplace(entry.text("zone"), entry.text("region"));
            entry.reportUnknownKeys();
        }
        settings_.zones.emplace(settings_.zone, settings_.region);
    }

    void readAddresses()
    {
        settings_.linkAddress = root_.address("link_address");
        settings_.linkListenAddress
            = root_.has("link_listen_address") ? root_.address("link_listen_address") : settings_.linkAddress;
        if (settings_.isGateway) {
            settings_.frontAddress = root_.address("front_address");
            settings_.readinessAddress = root_.address("readiness_address");
        } else {
            settings_.controlAddress = root_.address("control_address");
            settings_.directoryAddress = root_.address("directory_address");
        }
        if (root_.has("metrics_address"))
            settings_.metricsAddress = root_.address("metrics_address");
    }

    /// Seeds may be listed with a port other than their link port. `seed_link_port`, the same on all hosts, replaces
    /// it.
    void readSeeds()
    {
        const auto port = static_cast<uint16_t>(root_.integer("seed_link_port", PortRange, settings_.linkAddress.port));
        for (const LocatedText& seed : root_.texts("seeds", Presence::Optional)) {
            if (const auto address = model::parseAddress(seed.text))
                settings_.seeds.push_back({.ip = address->ip, .port = port});
            else
                root_.addItemFinding("seeds", seed.location, std::string(AddressRule));
        }
    }

    void readHeaders()
    {
        auto headers = root_.mapping("headers", Presence::Optional);
        if (!headers)
            return;
        for (const HeaderField& field : HeaderFields)
            settings_.headers.*field.name = headers->text(field.key, settings_.headers.*field.name);
        headers->reportUnknownKeys();
    }

    void readLimits()
    {
        settings_.retries.ratio = root_.decimal("retry_ratio", settings_.retries.ratio);
        settings_.retries.slack = root_.decimal("retry_slack", settings_.retries.slack);
        settings_.slowStart.overage = root_.decimal("slow_start_overage", settings_.slowStart.overage);
        if (settings_.slowStart.overage < 1)
            root_.addFinding("slow_start_overage", "must be at least 1");
        settings_.slowStart.slack = root_.decimal("slow_start_slack", settings_.slowStart.slack);
        settings_.linkMegabitsPerSecond = root_.decimal("link_mbps", settings_.linkMegabitsPerSecond);
        settings_.shiftCap = root_.decimal("shift_cap", settings_.shiftCap);
        settings_.rolloutShare = root_.decimal("rollout_share", settings_.rolloutShare);
        if (settings_.rolloutShare <= 0 || settings_.rolloutShare > MaxRolloutShare)
            root_.addFinding("rollout_share", "must be over 0 and at most 0.5");
        settings_.lookUpTtl = root_.duration("look_up_ttl_s", 1s, settings_.lookUpTtl, TtlRange);
        settings_.leaveLimit = root_.duration("leave_limit_ms", 1ms, settings_.leaveLimit, PropagationLimitRange);
        settings_.planLimit = root_.duration("plan_limit_ms", 1ms, settings_.planLimit, PropagationLimitRange);
        // Each connection reserves this much memory. Plans may lower it on a gateway; on a registry host, callers send
        // short headers.
        const uint64_t defaultHeaderBytes
            = settings_.isGateway ? DefaultGatewayHeaderBytes : DefaultRegistryHeaderBytes;
        settings_.limits.requestHeaderBytes = root_.integer("header_bytes", HeaderBytesRange, defaultHeaderBytes);
        const uint64_t defaultMegabytes = settings_.limits.memoryBytes / BytesPerMegabyte;
        settings_.limits.memoryBytes = root_.integer("memory_mb", MemoryRange, defaultMegabytes) * BytesPerMegabyte;
        settings_.limits.stopTimeLimit
            = root_.duration("stop_time_limit_s", 1s, settings_.limits.stopTimeLimit, StopTimeLimitRange);
    }

    YamlReader& root_;
    RoutedHostSettings settings_;
};

} // namespace

namespace {

/// Whether the settings contain a role of a routed host.
bool isRoutedHost(std::string_view text)
{
    YamlContext context {"settings"};
    auto root = YamlReader::parse(text, context);
    if (!root)
        return false;
    const std::vector<LocatedText> roles = root->texts("roles", Presence::Optional);
    return std::ranges::any_of(
        roles, [](const LocatedText& role) { return role.text == "gateway" || role.text == "registry"; });
}

template <typename Settings> Result<AnyHostSettings, Findings> asAny(const Result<Settings, Findings>& settings)
{
    if (!settings)
        return settings.error();
    return AnyHostSettings(settings.value());
}

} // namespace

Result<RoutedHostSettings, Findings> parseRoutedHostSettings(std::string_view text, std::string_view sourceName)
{
    YamlContext context {std::string(sourceName)};
    auto root = YamlReader::parse(text, context);
    if (!root)
        return context.takeFindings();
    RoutedHostSettings settings = RoutedHostParser(*root).parse();
    if (context.hasFindings())
        return context.takeFindings();
    return settings;
}

Result<AnyHostSettings, Findings> loadAnyHostSettings(const std::string& path)
{
    const auto content = readTextFile(path);
    if (!content)
        return fileFinding(content.error());
    if (isRoutedHost(content.value()))
        return asAny(parseRoutedHostSettings(content.value(), path));
    return asAny(parseHostSettings(content.value(), path));
}

} // namespace saltvane::settings
