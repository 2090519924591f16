/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/calls.h"

#include "model/textchecks.h"
#include "registry/internal/bodyreader.h"
#include "registry/internal/lookups.h"
#include "requests/headerfilter.h"
#include "settings/routeplanformat.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace saltvane::registry {

namespace {

using Json = nlohmann::json;

constexpr std::string_view TargetsPrefix = "/v1/targets/";
constexpr std::string_view HeartbeatSuffix = "/heartbeat";
constexpr std::string_view LeaveSuffix = "/leave";
constexpr std::string_view EvacuationsPrefix = "/v1/evacuations/";
constexpr std::string_view RolloutsPath = "/v1/rollouts";
constexpr std::string_view RolloutsPrefix = "/v1/rollouts/";
constexpr std::string_view PlanPath = "/v1/plan";
constexpr std::string_view EntryPath = "/v1/entry";
constexpr std::string_view StatusPath = "/v1/status";
constexpr std::string_view RetryAfterSeconds = "0.2"; ///< About the duration of an election's first round.

// A rollout takes its trial, the switch and the last requests of the former version.
constexpr Duration MinRolloutTime = 2s;
constexpr Duration MaxRolloutTime = 24h;

constexpr int StatusBadRequest = 400;
constexpr int StatusRedirect = 307;
constexpr int StatusUnavailable = 503;

/// Texts from untrusted reports may contain invalid UTF-8: those bytes are omitted.
std::string toJsonText(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::ignore); }

BundleVersion parseVersion(std::string_view text)
{
    BundleVersion version;
    std::from_chars(text.data(), text.data() + text.size(), version.value);
    return version;
}

Call readTargetCall(std::string_view path)
{
    path.remove_prefix(TargetsPrefix.size());
    if (path.ends_with(HeartbeatSuffix))
        return TargetHeartbeatCall {TargetId(path.substr(0, path.size() - HeartbeatSuffix.size()))};
    if (path.ends_with(LeaveSuffix))
        return TargetLeaveCall {TargetId(path.substr(0, path.size() - LeaveSuffix.size()))};
    return UnknownCall {};
}

Call readEvacuationCall(std::string_view method, std::string_view path)
{
    const ZoneName zone(path.substr(EvacuationsPrefix.size()));
    if (!model::isName(zone.value()))
        return UnknownCall {};
    if (method == "PUT")
        return EvacuationCall {.zone = zone, .isEvacuated = true};
    if (method == "DELETE")
        return EvacuationCall {.zone = zone, .isEvacuated = false};
    return UnknownCall {};
}

} // namespace

Call readCall(const requests::HttpRequestStarted& request, const settings::HeaderNames& headers)
{
    const std::string_view path = pathOf(request.path);
    const std::string& method = request.method;
    if (method == "GET" && path == EntryPath)
        return LookUpCall {.zone = queryValue(request.path, "zone"), .region = queryValue(request.path, "region")};
    if (method == "POST" && path.starts_with(TargetsPrefix))
        return readTargetCall(path);
    if (method == "PUT" && path == PlanPath)
        return ReplacePlanCall {.base = parseVersion(requests::firstFieldValue(request.headers, headers.planBase))};
    if (method == "GET" && path == PlanPath)
        return ReadPlanCall {};
    if (path.starts_with(EvacuationsPrefix))
        return readEvacuationCall(method, path);
    if (method == "POST" && path == RolloutsPath)
        return StartRolloutCall {};
    if (method == "GET" && path.starts_with(RolloutsPrefix))
        return RolloutStatusCall {ServiceName(path.substr(RolloutsPrefix.size()))};
    if (method == "GET" && path == StatusPath)
        return StatusCall {};
    return UnknownCall {};
}

BundleVersion uncheckedVersion(std::string_view plan)
{
    const Json json = Json::parse(settings::planWithoutLists(plan), nullptr, false);
    if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned())
        return {};
    return {json["version"].get<uint64_t>()};
}

std::set<ServiceName> uncheckedServices(std::string_view plan)
{
    std::set<ServiceName> services;
    const Json json = Json::parse(settings::planWithoutLists(plan), nullptr, false);
    if (!json.is_object() || !json.contains("services"))
        return services;
    for (const Json& service : json["services"]) {
        if (service.is_object() && service.contains("name") && service["name"].is_string())
            services.emplace(service["name"].get<std::string>());
    }
    return services;
}

Result<control::StartRollout, Findings> readRolloutOrder(std::string_view body)
{
    BodyReader reader("rollout", body);
    if (!reader.findings().isEmpty())
        return reader.findings();
    control::StartRollout order {.service = ServiceName(reader.name("service")),
        .version = model::TargetVersion(reader.version("to_version")),
        .timeLimit = reader.seconds("duration_s", MinRolloutTime, MaxRolloutTime)};
    if (order.version.isEmpty())
        reader.add("to_version", "must be the version of targets that report one");
    if (!reader.findings().isEmpty())
        return reader.findings();
    return order;
}

requests::HttpRespond jsonAnswer(requests::HttpHandle handle, int status, std::string body)
{
    const uint64_t length = body.size();
    return {.handle = handle,
        .status = status,
        .headers = {{.name = "Content-Type", .value = "application/json"}},
        .bodyLength = length,
        .bytes = std::move(body)};
}

requests::HttpRespond errorAnswer(requests::HttpHandle handle, int status, std::string_view message)
{
    return jsonAnswer(handle, status, toJsonText(Json {{"error", message}}));
}

requests::HttpRespond findingsAnswer(requests::HttpHandle handle, const std::vector<Finding>& findings)
{
    Json list = Json::array();
    for (const Finding& finding : findings)
        list.push_back(toString(finding));
    return jsonAnswer(handle, StatusBadRequest, toJsonText(Json {{"error", "findings"}, {"findings", list}}));
}

requests::HttpRespond unavailableAnswer(requests::HttpHandle handle, std::string_view message)
{
    requests::HttpRespond answer = errorAnswer(handle, StatusUnavailable, message);
    answer.headers.push_back({.name = "Retry-After", .value = std::string(RetryAfterSeconds)});
    return answer;
}

requests::HttpRespond redirectAnswer(requests::HttpHandle handle, const model::Address& address, std::string_view path)
{
    requests::HttpRespond answer = errorAnswer(handle, StatusRedirect, "another control host is the leader");
    answer.headers.push_back({.name = "Location", .value = "http://" + toString(address) + std::string(path)});
    return answer;
}

} // namespace saltvane::registry
