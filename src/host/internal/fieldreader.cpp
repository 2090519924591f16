/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/fieldreader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <limits>
#include <utility>

namespace saltvane::host {

namespace {

constexpr std::string_view Absent = "is missing";

} // namespace

FieldReader::FieldReader(const nlohmann::json& object, Findings& findings, std::string prefix)
    : object_(object)
    , findings_(findings)
    , prefix_(std::move(prefix))
{
}

std::string FieldReader::text(std::string_view name, size_t maxBytes)
{
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        add(name, std::string(Absent));
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        add(name, "must be a non-empty string");
        return {};
    }
    const auto& text = value->get_ref<const std::string&>();
    if (text.size() > maxBytes) {
        add(name, "must have at most " + std::to_string(maxBytes) + " bytes");
        return {};
    }
    return text;
}

uint64_t FieldReader::number(std::string_view name, uint64_t min, uint64_t max)
{
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        add(name, std::string(Absent));
        return min;
    }
    const bool isInRange
        = value->is_number_unsigned() && value->get<uint64_t>() >= min && value->get<uint64_t>() <= max;
    if (!isInRange) {
        add(name, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }
    return value->get<uint64_t>();
}

size_t FieldReader::choice(std::string_view name, const std::vector<std::string_view>& choices)
{
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        add(name, std::string(Absent));
        return 0;
    }
    if (value->is_string()) {
        const auto found = std::find(choices.begin(), choices.end(), value->get_ref<const std::string&>());
        if (found != choices.end())
            return static_cast<size_t>(found - choices.begin());
    }
    std::string message = "must be one of:";
    for (const std::string_view choice : choices)
        message.append(" ").append(choice);
    add(name, std::move(message));
    return 0;
}

model::Address FieldReader::address(std::string_view name)
{
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        add(name, std::string(Absent));
        return {};
    }
    std::optional<model::Address> parsed;
    if (value->is_string())
        parsed = model::parseAddress(value->get_ref<const std::string&>());
    if (!parsed) {
        add(name, "must be \"ip:port\"");
        return {};
    }
    return *parsed;
}

std::optional<FieldReader> FieldReader::object(std::string_view name)
{
    const nlohmann::json* value = find(name);
    if (value == nullptr || value->is_null())
        return std::nullopt;
    if (!value->is_object()) {
        add(name, "must be an object");
        return std::nullopt;
    }
    return FieldReader(*value, findings_, prefix_ + std::string(name) + ".");
}

void FieldReader::rejectUnknown()
{
    for (const auto& [name, value] : object_.items()) {
        if (!read_.contains(name))
            add(name, "is unknown");
    }
}

const nlohmann::json* FieldReader::find(std::string_view name)
{
    read_.emplace(name);
    const auto found = object_.find(std::string(name));
    return found != object_.end() ? &*found : nullptr;
}

void FieldReader::add(std::string_view name, std::string message)
{
    findings_.add({.field = prefix_ + std::string(name), .message = std::move(message)});
}

std::optional<nlohmann::json> parseObject(std::string_view body, Findings& findings)
{
    nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        findings.add({.field = "body", .message = "must be a JSON object"});
        return std::nullopt;
    }
    return parsed;
}

bool isIpAddress(const std::string& text)
{
    in6_addr parsed {};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1 || inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

} // namespace saltvane::host
