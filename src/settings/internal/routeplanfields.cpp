/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/internal/routeplanfields.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace saltvane::settings {

namespace {

using Json = nlohmann::json;

constexpr double MaxSeconds = 1e6;
constexpr double SecondsPerMillisecond = 0.001;
constexpr std::array RouteKinds {
    model::RouteKind::Repeatable, model::RouteKind::AtMostOnce, model::RouteKind::LargeRead};

/// Reads the fields of one JSON object. A field that is missing or has the wrong type is reported as a finding.
class ObjectReader {
public:
    ObjectReader(const Json& object, std::string path, const std::string& source, Findings& findings)
        : object_(object)
        , path_(std::move(path))
        , source_(source)
        , findings_(findings)
    {
        if (!object_.is_object())
            addFinding("", "must be an object");
    }

    [[nodiscard]] const Json* find(const char* key) const
    {
        if (!object_.is_object())
            return nullptr;
        const auto found = object_.find(key);
        return found == object_.end() || found->is_null() ? nullptr : &*found;
    }

    std::string text(const char* key)
    {
        const Json* value = find(key);
        if (value != nullptr && value->is_string())
            return value->get<std::string>();
        addFinding(key, "must be a string");
        return {};
    }

    double number(const char* key, std::optional<double> fallback = std::nullopt)
    {
        const Json* value = find(key);
        if (value == nullptr && fallback)
            return *fallback;
        if (value != nullptr && value->is_number() && std::isfinite(value->get<double>()) && value->get<double>() >= 0)
            return value->get<double>();
        addFinding(key, "must be a number that is not negative");
        return fallback.value_or(0);
    }

    uint64_t wholeNumber(const char* key, std::optional<uint64_t> fallback = std::nullopt)
    {
        const Json* value = find(key);
        if (value == nullptr && fallback)
            return *fallback;
        if (value != nullptr && value->is_number_unsigned())
            return value->get<uint64_t>();
        addFinding(key, "must be a whole number that is not negative");
        return fallback.value_or(0);
    }

    /// An unsigned number of at most 32 bits.
    uint32_t count(const char* key, std::optional<uint32_t> fallback = std::nullopt)
    {
        const uint64_t value = wholeNumber(key, fallback);
        if (value > std::numeric_limits<uint32_t>::max())
            addFinding(key, "is too large");
        return static_cast<uint32_t>(value);
    }

    Duration seconds(const char* key, std::optional<Duration> fallback = std::nullopt)
    {
        return duration(key, 1, fallback);
    }
    Duration milliseconds(const char* key, std::optional<Duration> fallback = std::nullopt)
    {
        return duration(key, SecondsPerMillisecond, fallback);
    }

    bool flag(const char* key)
    {
        const Json* value = find(key);
        if (value == nullptr)
            return false;
        if (!value->is_boolean())
            addFinding(key, "must be true or false");
        return value->is_boolean() && value->get<bool>();
    }

    const Json& list(const char* key, bool isRequired)
    {
        static const Json None = Json::array();
        const Json* value = find(key);
        if (value != nullptr && value->is_array())
            return *value;
        if (value != nullptr || isRequired)
            addFinding(key, "must be a list");
        return None;
    }

    /// A list of strings; empty if the list is missing.
    template <typename Text> std::vector<Text> names(const char* key)
    {
        std::vector<Text> names;
        for (const Json& name : list(key, false)) {
            if (name.is_string())
                names.emplace_back(name.get<std::string>());
            else
                addFinding(key, "must contain only strings");
        }
        return names;
    }

    ObjectReader item(const Json& object, const std::string& key, size_t index)
    {
        return {object, fieldOf(key) + "[" + std::to_string(index) + "]", source_, findings_};
    }
    ObjectReader member(const Json& object, const std::string& key)
    {
        return {object, fieldOf(key), source_, findings_};
    }

    void addFinding(const std::string& key, std::string message)
    {
        findings_.add({.location = {.source = source_}, .field = fieldOf(key), .message = std::move(message)});
    }

private:
    Duration duration(const char* key, double secondsPerUnit, std::optional<Duration> fallback)
    {
        if (find(key) == nullptr && fallback)
            return *fallback;
        const double value = number(key) * secondsPerUnit;
        if (value > MaxSeconds)
            addFinding(key, "is too large");
        return fromSeconds(std::min(value, MaxSeconds));
    }
    [[nodiscard]] std::string fieldOf(const std::string& key) const
    {
        if (path_.empty() || key.empty())
            return path_ + key;
        return path_ + "." + key;
    }

    const Json& object_;
    std::string path_;
    const std::string& source_;
    Findings& findings_;
};

model::RouteKind readKind(ObjectReader& reader)
{
    const std::string text = reader.text("kind");
    const auto* const found = std::ranges::find(RouteKinds, text, model::toString);
    if (found != RouteKinds.end())
        return *found;
    reader.addFinding("kind", "must be repeatable, at_most_once or large_read, not '" + text + "'");
    return model::RouteKind::AtMostOnce;
}

std::vector<model::ServiceWeight> readServices(ObjectReader& reader)
{
    if (reader.find("split") == nullptr)
        return {{.service = ServiceName(reader.text("service")), .weight = 1}};
    std::vector<model::ServiceWeight> services;
    size_t index = 0;
    for (const Json& json : reader.list("split", true)) {
        ObjectReader item = reader.item(json, "split", index++);
        services.push_back({.service = ServiceName(item.text("service")), .weight = item.number("weight")});
    }
    return services;
}

model::Route readRoute(ObjectReader reader)
{
    model::Route route {
        .name = model::RouteName(reader.text("name")),
        .host = reader.text("host"),
        .pathPrefix = reader.text("path_prefix"),
        .kind = readKind(reader),
        .timeout = reader.milliseconds("timeout_ms"),
        .objective = reader.milliseconds("objective_ms", Duration::zero()),
        .rank = reader.count("rank", 0),
        .attempts = reader.count("attempts"),
        .isPublic = reader.flag("public"),
        .hasAffinity = reader.flag("affinity"),
        .permittedRegions = reader.names<RegionName>("permitted_regions"),
        .services = readServices(reader),
    };
    return route;
}

std::optional<model::RateLimit> readLimit(ObjectReader& reader)
{
    const model::RateLimit limit {.perSecond = reader.number("rate_per_s", 0), .burst = reader.number("burst", 0)};
    return limit.perSecond > 0 ? std::optional(limit) : std::nullopt;
}

model::ClientAccount readAccount(ObjectReader reader)
{
    model::ClientAccount account {
        .name = model::ClientAccountName(reader.text("name")),
        .keys = reader.names<std::string>("keys"),
        .limit = readLimit(reader),
        .permittedRegions = reader.names<RegionName>("permitted_regions"),
    };
    if (reader.find("rank") != nullptr)
        account.rank = reader.count("rank");
    return account;
}

model::RoutedService readService(ObjectReader reader)
{
    return {
        .name = ServiceName(reader.text("name")),
        .probePath = reader.text("probe_path"),
        .connections = reader.count("connections", 0),
        .slowStart = reader.seconds("slow_start_s", Duration::zero()),
        .slowStartPerSecond = reader.number("slow_start_per_s", 0),
    };
}

model::CallerLimits readLimits(ObjectReader reader)
{
    const model::CallerLimits defaults;
    return {
        .headerBytes = reader.wholeNumber("header_bytes", defaults.headerBytes),
        .bodyBytes = reader.wholeNumber("body_bytes", defaults.bodyBytes),
        .headerTimeout = reader.milliseconds("header_timeout_ms", defaults.headerTimeout),
        .idleTimeout = reader.milliseconds("idle_timeout_ms", defaults.idleTimeout),
    };
}

} // namespace

model::Route readPlanRoute(const nlohmann::json& json, size_t index, const std::string& source, Findings& findings)
{
    return readRoute({json, "routes[" + std::to_string(index) + "]", source, findings});
}

model::ClientAccount readPlanAccount(
    const nlohmann::json& json, size_t index, const std::string& source, Findings& findings)
{
    return readAccount({json, "client_accounts[" + std::to_string(index) + "]", source, findings});
}

model::RoutePlan readPlanFields(const nlohmann::json& json, const std::string& source, Findings& findings)
{
    ObjectReader reader(json, "", source, findings);
    model::RoutePlan plan {.version = {reader.wholeNumber("version")}};
    size_t index = 0;
    for (const Json& route : reader.list("routes", true))
        plan.routes.push_back(model::makeRoute(readPlanRoute(route, index++, source, findings)));
    index = 0;
    for (const Json& service : reader.list("services", true))
        plan.services.push_back(readService(reader.item(service, "services", index++)));
    index = 0;
    plan.hasAccounts = reader.find("client_accounts") != nullptr;
    for (const Json& account : reader.list("client_accounts", false))
        plan.accounts.push_back(model::makeAccount(readPlanAccount(account, index++, source, findings)));
    if (const Json* limits = reader.find("limits"))
        plan.limits = readLimits(reader.member(*limits, "limits"));
    return plan;
}

} // namespace saltvane::settings
