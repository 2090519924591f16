/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/ownerheaders.h"

#include "requests/headerfilter.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace saltvane::requests {

namespace {

constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr std::string_view ShedHeader = "Saltvane-Shed";
constexpr Duration MaxRetryAfter = 1h;

bool isShedMarked(std::span<const model::Header> headers)
{
    const std::vector<std::string_view> values = fieldValues(headers, ShedHeader);
    return !values.empty() && values.front() == "1";
}

} // namespace

bool isShedAnswer(int status, std::span<const model::Header> headers)
{
    return status == TooManyRequests || (status == ServiceUnavailable && isShedMarked(headers));
}

std::optional<Duration> retryAfterOf(std::span<const model::Header> headers)
{
    const std::vector<std::string_view> values = fieldValues(headers, RetryAfterHeader);
    if (values.empty())
        return std::nullopt;
    const std::string_view value = values.front();
    uint32_t seconds = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (error != std::errc() || end != value.data() + value.size())
        return std::nullopt;
    return std::min<Duration>(std::chrono::seconds(seconds), MaxRetryAfter);
}

bool isBodylessAnswer(std::string_view method, int status)
{
    return method == "HEAD" || status == NoContent || status == NotModified;
}

} // namespace saltvane::requests
