/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/hostsettings.h"
#include "settings/internal/operatorlist.h"
#include "settings/internal/textfile.h"

namespace saltvane::settings {
namespace {

constexpr uint64_t MaxLinkRequests = 1'000'000;

/// Reads the fields of a bundle. model::checkBundle() checks their ranges and references.
class BundleParser {
public:
    explicit BundleParser(YamlReader& root)
        : root_(root)
    {
    }

    model::Bundle parse();

private:
    void readDelays();
    void readRegions();
    void readRegionDelays();
    void readLinkLimits();
    void readClients();
    void readServices();
    model::Objective readObjective();
    static model::Service readService(YamlReader& entry);
    static std::vector<model::ZoneShare> readZoneShares(YamlReader& service);
    static std::vector<model::RepeatableRule> readRepeatable(YamlReader& service);
    static model::ShiftCap readCap(YamlReader& cap);

    YamlReader& root_;
    model::Bundle bundle_;
};

model::Bundle BundleParser::parse()
{
    bundle_.deployment = root_.text("deployment");
    bundle_.version = {root_.integer("version", {.minimum = 1})};
    bundle_.objective = readObjective();
    readDelays();
    readRegions();
    readRegionDelays();
    readLinkLimits();
    readClients();
    readServices();
    bundle_.operators = readOperators(root_, OperatorChecks::Skip);
    root_.reportUnknownKeys();
    return std::move(bundle_);
}

model::Objective BundleParser::readObjective()
{
    const std::string text = root_.text("objective");
    if (text != "latency" && text != "headroom")
        root_.addFinding("objective", "must be latency or headroom");
    return text == "headroom" ? model::Objective::Headroom : model::Objective::Latency;
}

void BundleParser::readDelays()
{
    auto delays = root_.mapping("delays", Presence::Optional);
    if (!delays)
        return;
    model::Delays& read = bundle_.delays;
    read.betweenZones = delays->duration("between_zones_ms", 1ms, read.betweenZones);
    read.betweenRegions = delays->duration("between_regions_ms", 1ms, read.betweenRegions);
    read.toClients = delays->duration("to_clients_ms", 1ms, read.toClients);
    delays->reportUnknownKeys();
}

void BundleParser::readRegions()
{
    for (YamlReader& entry : root_.mappings("regions", Presence::Required)) {
        const RegionName region(entry.text("name"));
        bundle_.regions.push_back({.name = region, .location = entry.location()});
        for (LocatedText& zone : entry.texts("zones", Presence::Required))
            bundle_.zones.push_back(
                {.name = ZoneName(std::move(zone.text)), .region = region, .location = std::move(zone.location)});
        entry.reportUnknownKeys();
    }
}

void BundleParser::readRegionDelays()
{
    for (YamlReader& entry : root_.mappings("region_delays", Presence::Optional)) {
        bundle_.regionDelays.push_back({.from = RegionName(entry.text("from")),
            .to = RegionName(entry.text("to")),
            .delay = entry.duration("delay_ms", 1ms),
            .location = entry.location()});
        entry.reportUnknownKeys();
    }
}

void BundleParser::readLinkLimits()
{
    for (YamlReader& entry : root_.mappings("link_limits", Presence::Optional)) {
        const uint64_t limit = entry.integer("requests_in_flight", {.minimum = 0, .maximum = MaxLinkRequests});
        bundle_.linkLimits.push_back({.from = RegionName(entry.text("from")),
            .to = RegionName(entry.text("to")),
            .requestsInFlight = static_cast<uint32_t>(limit),
            .location = entry.location()});
        entry.reportUnknownKeys();
    }
}

void BundleParser::readClients()
{
    auto clients = root_.mapping("clients", Presence::Required);
    if (!clients)
        return;
    bundle_.defaultClientRegion = RegionName(clients->text("default_region"));
    for (YamlReader& entry : clients->mappings("blocks", Presence::Optional)) {
        bundle_.clients.push_back(
            {.prefix = entry.text("prefix"), .region = RegionName(entry.text("region")), .location = entry.location()});
        entry.reportUnknownKeys();
    }
    clients->reportUnknownKeys();
}

void BundleParser::readServices()
{
    for (YamlReader& entry : root_.mappings("services", Presence::Required))
        bundle_.services.push_back(readService(entry));
}

model::Service BundleParser::readService(YamlReader& entry)
{
    model::Service service;
    service.location = entry.location();
    service.name = ServiceName(entry.text("name"));
    service.zones = readZoneShares(entry);
    if (auto cap = entry.mapping("shift_cap", Presence::Required))
        service.shiftCap = readCap(*cap);
    if (auto cap = entry.mapping("failover_cap", Presence::Optional))
        service.failoverCap = readCap(*cap);
    service.repeatable = readRepeatable(entry);
    service.defaultDeadline = entry.duration("default_deadline_ms", 1ms, service.defaultDeadline);
    service.maximumDeadline = entry.duration("maximum_deadline_ms", 1ms, service.maximumDeadline);
    service.entryTtl = entry.duration("entry_ttl_s", 1s, service.entryTtl);
    service.keyRetention = entry.duration("key_retention_h", 1h, service.keyRetention);
    entry.reportUnknownKeys();
    return service;
}

std::vector<model::ZoneShare> BundleParser::readZoneShares(YamlReader& service)
{
    std::vector<model::ZoneShare> shares;
    for (YamlReader& entry : service.mappings("zones", Presence::Required)) {
        shares.push_back(
            {.zone = ZoneName(entry.text("zone")), .open = entry.decimal("open", 1.0), .location = entry.location()});
        entry.reportUnknownKeys();
    }
    return shares;
}

std::vector<model::RepeatableRule> BundleParser::readRepeatable(YamlReader& service)
{
    std::vector<model::RepeatableRule> rules;
    for (YamlReader& entry : service.mappings("repeatable", Presence::Optional)) {
        rules.push_back({.method = entry.text("method"),
            .pathPrefix = entry.text("path_prefix", "/"),
            .location = entry.location()});
        entry.reportUnknownKeys();
    }
    return rules;
}

model::ShiftCap BundleParser::readCap(YamlReader& cap)
{
    const model::ShiftCap read {.share = cap.decimal("share"), .window = cap.duration("window_s", 1s)};
    cap.reportUnknownKeys();
    return read;
}

} // namespace

Result<model::Bundle, Findings> parseBundle(std::string_view text, std::string_view sourceName)
{
    YamlContext context {std::string(sourceName)};
    auto root = YamlReader::parse(text, context);
    if (!root)
        return context.takeFindings();
    model::Bundle bundle = BundleParser(*root).parse();
    context.addContentFindings(model::checkBundle(bundle));
    if (context.hasFindings())
        return context.takeFindings();
    return bundle;
}

Result<model::Bundle, Findings> loadBundle(const std::string& path)
{
    const auto content = readTextFile(path);
    if (content)
        return parseBundle(content.value(), path);
    return fileFinding(content.error());
}

} // namespace saltvane::settings
