/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/requestparser.h"

#include "requests/headerfilter.h"

#include <algorithm>
#include <charconv>

namespace saltvane::requests {
namespace {

constexpr size_t MaxKeyLength = 255;

ParsedRequest& fail(ParsedRequest& parsed, model::Reason reason, std::string_view field)
{
    parsed.refusal = reason;
    parsed.field = std::string(field);
    return parsed;
}

bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) { return character > 0x20 && character < 0x7f; });
}

std::string_view hostWithoutPort(std::string_view host)
{
    const size_t colon = host.find(':');
    return host.substr(0, colon);
}

/// The service named by the Host header: by the whole name, otherwise by its first label.
std::optional<ServiceIndex> serviceOfHost(const model::Deployment& deployment, std::string_view host)
{
    const std::string_view name = hostWithoutPort(host);
    if (const auto service = deployment.findService(ServiceName(name)))
        return service;
    return deployment.findService(ServiceName(name.substr(0, name.find('.'))));
}

bool readKey(const HttpRequestStarted& request, ParsedRequest& parsed)
{
    const std::vector<std::string_view> keys = fieldValues(request.headers, KeyHeader);
    if (keys.empty())
        return true;
    const std::string_view key = keys.front();
    if (keys.size() > 1 || key.empty() || key.size() > MaxKeyLength || !isVisibleAscii(key))
        return false;
    parsed.idempotencyKey = std::string(key);
    return true;
}

bool readDeadline(const HttpRequestStarted& request, const model::Service& service, ParsedRequest& parsed)
{
    parsed.deadline = service.defaultDeadline;
    const std::vector<std::string_view> values = fieldValues(request.headers, DeadlineHeader);
    if (values.empty())
        return true;
    const std::string_view text = values.front();
    int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (values.size() > 1 || error != std::errc {} || end != text.data() + text.size())
        return false;
    const int64_t maximum = std::chrono::duration_cast<std::chrono::milliseconds>(service.maximumDeadline).count();
    if (milliseconds < 1 || milliseconds > maximum)
        return false;
    parsed.deadline = std::chrono::milliseconds(milliseconds);
    return true;
}

} // namespace

ParsedRequest parseRequest(const model::Deployment& deployment, const HttpRequestStarted& request)
{
    ParsedRequest parsed;
    parsed.clientRegion = deployment.region(deployment.clientRegion(request.remoteAddress)).name;
    if (!readKey(request, parsed))
        return fail(parsed, model::Reason::BadRequest, KeyHeader);

    const std::vector<std::string_view> serviceNames = fieldValues(request.headers, ServiceHeader);
    const std::vector<std::string_view> hosts = fieldValues(request.headers, "Host");
    if (serviceNames.size() > 1)
        return fail(parsed, model::Reason::BadRequest, ServiceHeader);
    std::optional<ServiceIndex> index;
    if (!serviceNames.empty())
        index = deployment.findService(ServiceName(serviceNames.front()));
    else if (!hosts.empty())
        index = serviceOfHost(deployment, hosts.front());
    if (!index)
        return fail(parsed, model::Reason::UnknownService, serviceNames.empty() ? "Host" : ServiceHeader);

    const model::Service& service = deployment.service(*index);
    parsed.service = service.name;
    parsed.isRepeatable = deployment.isRepeatable(*index, request.method, request.path);
    if (!readDeadline(request, service, parsed))
        return fail(parsed, model::Reason::BadRequest, DeadlineHeader);
    if (!parsed.isRepeatable && parsed.idempotencyKey.empty())
        return fail(parsed, model::Reason::MissingKey, KeyHeader);
    return parsed;
}

ParsedRequest parseWithoutDeployment(const HttpRequestStarted& request)
{
    ParsedRequest parsed;
    if (!readKey(request, parsed))
        return fail(parsed, model::Reason::BadRequest, KeyHeader);
    const std::vector<std::string_view> serviceNames = fieldValues(request.headers, ServiceHeader);
    if (!serviceNames.empty())
        parsed.service = ServiceName(serviceNames.front());
    return fail(parsed, model::Reason::NotReady, "");
}

} // namespace saltvane::requests
