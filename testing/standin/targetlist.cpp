/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "standin/targetlist.h"

#include <optional>
#include <yaml-cpp/yaml.h>

namespace saltvane::standin {

namespace {

TargetSpec readTarget(const YAML::Node& node)
{
    const YAML::Node addressNode = node["address"];
    const std::optional<model::Address> address = model::parseAddress(addressNode.as<std::string>());
    if (!address)
        throw YAML::RepresentationException(addressNode.Mark(), "address is not of the form ip:port");
    return {.target = TargetId(node["name"].as<std::string>()),
        .service = ServiceName(node["service"].as<std::string>()),
        .zone = ZoneName(node["zone"].as<std::string>()),
        .address = *address,
        .slots = node["slots"].as<uint32_t>(),
        .connections = node["connections"].as<uint32_t>(),
        .serviceTime = fromSeconds(node["service_time_ms"].as<double>() / 1000.0)};
}

} // namespace

Result<std::vector<TargetSpec>, Findings> loadTargetList(const std::string& path)
{
    std::vector<TargetSpec> targets;
    Findings findings;
    try {
        const YAML::Node root = YAML::LoadFile(path);
        for (const YAML::Node& node : root["targets"])
            targets.push_back(readTarget(node));
    } catch (const YAML::Exception& error) {
        findings.add({.location = {.source = path, .line = error.mark.line + 1, .column = error.mark.column + 1},
            .field = "targets",
            .message = error.msg});
    }
    if (!findings.isEmpty())
        return findings;
    return targets;
}

} // namespace saltvane::standin
