/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/textchecks.h"
#include "settings/hostsettings.h"
#include "settings/internal/operatorlist.h"
#include "settings/internal/textfile.h"

#include <algorithm>
#include <set>

namespace saltvane::settings {
namespace {

constexpr size_t MinKeyBytes = 32;
constexpr size_t MinSecretBytes = 16;
constexpr size_t MaxSecretBytes = 256;
constexpr size_t MinOperators = 2; // One proposes a bundle, another one approves it.
constexpr IntegerRange HeaderBytesRange {.minimum = 1024, .maximum = 1024 * 1024};
constexpr IntegerRange BodyBytesRange {.minimum = 1, .maximum = uint64_t {1} << 40};
constexpr IntegerRange ConnectionsRange {.minimum = 16, .maximum = 1'000'000};
constexpr DurationRange TimeoutRange {.minimum = 1s, .maximum = 1h};

/// A secret is sent in an HTTP header, so it may contain visible characters only.
bool isSecret(std::string_view text)
{
    const auto isVisible = [](char c) { return c > ' ' && c < '\x7f'; };
    return text.size() >= MinSecretBytes && text.size() <= MaxSecretBytes
        && std::all_of(text.begin(), text.end(), isVisible);
}

bool isWildcard(const std::string& ip) { return ip.find_first_not_of("0.:") == std::string::npos; }

class HostSettingsParser {
public:
    explicit HostSettingsParser(YamlReader& root)
        : root_(root)
    {
    }

    HostSettings parse();

private:
    std::string readName(YamlReader& mapping, std::string_view key);
    model::Address readOwnAddress(std::string_view key);
    void readIdentity();
    void readRoles();
    void readRole(const LocatedText& role);
    void readAddresses();
    void readSeeds();
    void readControlHosts();
    void checkOwnControlEntry();
    void readKeys();
    void readAnnounceKeys();
    void readOperatorList();
    void readLimits();

    YamlReader& root_;
    HostSettings settings_;
};

HostSettings HostSettingsParser::parse()
{
    settings_.location = root_.location();
    readIdentity();
    readRoles();
    readAddresses();
    readSeeds();
    readControlHosts();
    readKeys();
    readAnnounceKeys();
    readOperatorList();
    readLimits();
    root_.reportUnknownKeys();
    return std::move(settings_);
}

std::string HostSettingsParser::readName(YamlReader& mapping, std::string_view key)
{
    std::string name = mapping.text(key);
    if (!model::isName(name))
        mapping.addFinding(key, std::string(model::NameRule));
    return name;
}

void HostSettingsParser::readIdentity()
{
    settings_.deployment = readName(root_, "deployment");
    settings_.host = HostId(readName(root_, "host"));
    settings_.zone = ZoneName(readName(root_, "zone"));
    settings_.region = RegionName(readName(root_, "region"));
}

void HostSettingsParser::readRoles()
{
    const std::vector<LocatedText> roles = root_.texts("roles", Presence::Required);
    for (const LocatedText& role : roles)
        readRole(role);
    if (roles.empty())
        root_.addFinding("roles", "must name at least one role");
    settings_.dataFolder = root_.text("data_folder", "");
    if (settings_.isControl && settings_.dataFolder.empty())
        root_.addFinding("data_folder", "is required by the control role");
}

void HostSettingsParser::readRole(const LocatedText& role)
{
    const bool isEntry = role.text == "entry";
    const bool isControl = role.text == "control";
    if (!isEntry && !isControl)
        root_.addItemFinding("roles", role.location, "must be entry or control");
    if ((isEntry && settings_.isEntry) || (isControl && settings_.isControl))
        root_.addItemFinding("roles", role.location, "is listed twice: '" + role.text + "'");
    settings_.isEntry = settings_.isEntry || isEntry;
    settings_.isControl = settings_.isControl || isControl;
}

model::Address HostSettingsParser::readOwnAddress(std::string_view key)
{
    model::Address address = root_.address(key);
    if (isWildcard(address.ip))
        root_.addFinding(key, "must be an address that others can reach");
    return address;
}

void HostSettingsParser::readAddresses()
{
    settings_.entryAddress = readOwnAddress("entry_address");
    settings_.linkAddress = readOwnAddress("link_address");
    if (settings_.entryAddress == settings_.linkAddress)
        root_.addFinding("link_address", "must differ from entry_address");
}

void HostSettingsParser::readSeeds()
{
    for (const LocatedText& seed : root_.texts("seeds", Presence::Optional)) {
        if (const auto address = model::parseAddress(seed.text))
            settings_.seeds.push_back(*address);
        else
            root_.addItemFinding("seeds", seed.location, std::string(AddressRule));
    }
}

void HostSettingsParser::readControlHosts()
{
    std::set<HostId> hosts;
    std::set<model::Address> addresses;
    for (YamlReader& entry : root_.mappings("control_hosts", Presence::Required)) {
        ControlHost host {.host = HostId(readName(entry, "host")), .linkAddress = entry.address("link_address")};
        if (!hosts.insert(host.host).second)
            entry.addFinding("host", "is listed twice: '" + host.host.value() + "'");
        if (!addresses.insert(host.linkAddress).second)
            entry.addFinding("link_address", "is listed twice: '" + toString(host.linkAddress) + "'");
        settings_.controlHosts.push_back(std::move(host));
        entry.reportUnknownKeys();
    }
    if (settings_.controlHosts.empty())
        root_.addFinding("control_hosts", "must name at least one host");
    checkOwnControlEntry();
}

void HostSettingsParser::checkOwnControlEntry()
{
    if (root_.isInvalid("host") || root_.isInvalid("roles"))
        return;
    const auto own = std::find_if(settings_.controlHosts.begin(), settings_.controlHosts.end(),
        [this](const ControlHost& entry) { return entry.host == settings_.host; });
    const bool isListed = own != settings_.controlHosts.end();
    if (settings_.isControl && !isListed)
        root_.addFinding("control_hosts", "must list this host, which has the control role");
    if (!settings_.isControl && isListed)
        root_.addFinding("control_hosts", "lists this host, which does not have the control role");
    if (root_.isInvalid("link_address"))
        return;
    if (settings_.isControl && isListed && own->linkAddress != settings_.linkAddress)
        root_.addFinding("control_hosts", "lists this host with a different link_address");
}

void HostSettingsParser::readKeys()
{
    settings_.linkKey = root_.text("link_key");
    settings_.tokenKey = root_.text("token_key");
    if (settings_.linkKey.size() < MinKeyBytes)
        root_.addFinding("link_key", "must have at least 32 bytes");
    if (settings_.tokenKey.size() < MinKeyBytes)
        root_.addFinding("token_key", "must have at least 32 bytes");
    if (settings_.linkKey == settings_.tokenKey)
        root_.addFinding("token_key", "must differ from link_key");
}

void HostSettingsParser::readAnnounceKeys()
{
    std::set<ServiceName> services;
    for (YamlReader& entry : root_.mappings("announce_keys", Presence::Optional)) {
        AnnounceKey key {.service = ServiceName(readName(entry, "service")), .secret = entry.text("secret")};
        if (!isSecret(key.secret))
            entry.addFinding("secret", "must have 16 to 256 visible ASCII characters");
        if (!services.insert(key.service).second)
            entry.addFinding("service", "is listed twice: '" + key.service.value() + "'");
        settings_.announceKeys.push_back(std::move(key));
        entry.reportUnknownKeys();
    }
}

void HostSettingsParser::readOperatorList()
{
    settings_.operators = readOperators(root_, OperatorChecks::Run);
    if (settings_.isControl && settings_.operators.size() < MinOperators)
        root_.addFinding("operators", "must name at least two operators on a control host");
}

void HostSettingsParser::readLimits()
{
    auto limits = root_.mapping("limits", Presence::Optional);
    if (!limits)
        return;
    Limits& read = settings_.limits;
    read.requestHeaderBytes = limits->integer("request_header_bytes", HeaderBytesRange, read.requestHeaderBytes);
    read.requestBodyBytes = limits->integer("request_body_bytes", BodyBytesRange, read.requestBodyBytes);
    read.connections = static_cast<uint32_t>(limits->integer("connections", ConnectionsRange, read.connections));
    read.idleTimeout = limits->duration("idle_timeout_s", 1s, read.idleTimeout, TimeoutRange);
    read.headerTimeout = limits->duration("header_timeout_s", 1s, read.headerTimeout, TimeoutRange);
    read.stopTimeLimit = limits->duration("stop_time_limit_s", 1s, read.stopTimeLimit, TimeoutRange);
    limits->reportUnknownKeys();
}

} // namespace

Result<HostSettings, Findings> parseHostSettings(std::string_view text, std::string_view sourceName)
{
    YamlContext context {std::string(sourceName)};
    auto root = YamlReader::parse(text, context);
    if (!root)
        return context.takeFindings();
    HostSettings settings = HostSettingsParser(*root).parse();
    if (context.hasFindings())
        return context.takeFindings();
    return settings;
}

Result<HostSettings, Findings> loadHostSettings(const std::string& path)
{
    const auto content = readTextFile(path);
    if (content)
        return parseHostSettings(content.value(), path);
    return fileFinding(content.error());
}

} // namespace saltvane::settings
