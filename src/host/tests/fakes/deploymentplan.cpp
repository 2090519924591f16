/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/deploymentplan.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sodium.h>
#include <sstream>
#include <stdexcept>
#include <yaml-cpp/yaml.h>

namespace saltvane::host::fakes {

namespace {

std::vector<std::filesystem::path> filesIn(const std::filesystem::path& folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    return files;
}

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

[[noreturn]] void refuse(const std::filesystem::path& path, const Findings& findings)
{
    std::string message = path.string();
    for (const Finding& finding : findings.items())
        message += "\n" + toString(finding);
    throw std::runtime_error(message);
}

settings::HostSettings readHost(const std::filesystem::path& path)
{
    Result<settings::HostSettings, Findings> settings = settings::loadHostSettings(path.string());
    if (!settings)
        refuse(path, settings.error());
    return settings.value();
}

OperatorKey readOperator(const std::filesystem::path& path)
{
    std::istringstream text(readFile(path));
    std::string line;
    while (std::getline(text, line) && line.starts_with("#")) { }
    std::array<unsigned char, crypto_sign_SECRETKEYBYTES> key {};
    size_t size = 0;
    const int code = sodium_base642bin(
        key.data(), key.size(), line.data(), line.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
    if (code != 0 || size != key.size())
        throw std::runtime_error(path.string() + ": does not contain an Ed25519 key");
    return {OperatorName(path.stem().string()), std::string(key.begin(), key.end())};
}

model::Address readAddress(const std::string& text)
{
    const size_t colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<uint16_t>(std::stoi(text.substr(colon + 1)))};
}

std::string announceKeyOf(const DeploymentPlan& plan, const ServiceName& service)
{
    for (const settings::AnnounceKey& key : plan.hosts.front().announceKeys) {
        if (key.service == service)
            return key.secret;
    }
    throw std::runtime_error("no announce key for " + service.value());
}

std::vector<HostId> hostsOfZone(const DeploymentPlan& plan, const ZoneName& zone)
{
    std::vector<HostId> own;
    std::vector<HostId> others;
    const std::optional<ZoneIndex> index = plan.first->findZone(zone);
    for (const settings::HostSettings& host : plan.hosts) {
        if (host.zone == zone)
            own.push_back(host.host);
        else if (index && host.region == plan.first->region(plan.first->regionOf(*index)).name)
            others.push_back(host.host);
    }
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

FakeTargetOptions readTarget(const YAML::Node& node, const DeploymentPlan& plan)
{
    FakeTargetOptions target;
    target.target = TargetId(node["name"].as<std::string>());
    target.service = ServiceName(node["service"].as<std::string>());
    target.zone = ZoneName(node["zone"].as<std::string>());
    target.address = readAddress(node["address"].as<std::string>());
    target.slots = node["slots"].as<uint32_t>();
    target.connections = node["connections"].as<uint32_t>();
    target.serviceTime = std::chrono::milliseconds(node["service_time_ms"].as<int64_t>());
    target.announceKey = announceKeyOf(plan, target.service);
    target.initialHosts = hostsOfZone(plan, target.zone);
    return target;
}

} // namespace

std::string OperatorKey::sign(const std::string& text) const
{
    std::array<unsigned char, crypto_sign_BYTES> signature {};
    crypto_sign_detached(signature.data(), nullptr, reinterpret_cast<const unsigned char*>(text.data()), text.size(),
        reinterpret_cast<const unsigned char*>(secretKey.data()));
    std::array<char, sodium_base64_ENCODED_LEN(crypto_sign_BYTES, sodium_base64_VARIANT_ORIGINAL)> encoded {};
    sodium_bin2base64(
        encoded.data(), encoded.size(), signature.data(), signature.size(), sodium_base64_VARIANT_ORIGINAL);
    return encoded.data();
}

DeploymentPlan loadDeploymentPlan(const std::string& folder)
{
    const std::filesystem::path root(folder);
    DeploymentPlan plan {.name = root.filename().string()};
    for (const std::filesystem::path& path : filesIn(root / "hosts"))
        plan.hosts.push_back(readHost(path));
    for (const std::filesystem::path& path : filesIn(root / "bundles"))
        plan.bundles.push_back(readFile(path));
    for (const std::filesystem::path& path : filesIn(root / "operators"))
        plan.operators.push_back(readOperator(path));
    Result<model::Bundle, Findings> first = settings::parseBundle(plan.bundles.front(), "first bundle");
    if (!first)
        refuse(root, first.error());
    plan.first = std::make_shared<const model::Deployment>(std::move(first.value()), LogPosition {});
    for (const YAML::Node& node : YAML::LoadFile((root / "targets.yaml").string())["targets"])
        plan.targets.push_back(readTarget(node, plan));
    return plan;
}

std::string edited(std::string content, const std::string& from, const std::string& to)
{
    const size_t offset = content.find(from);
    if (offset == std::string::npos)
        throw std::runtime_error("not in the bundle: " + from);
    return content.replace(offset, from.size(), to);
}

} // namespace saltvane::host::fakes
