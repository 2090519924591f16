/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetbackpressure.h"

#include "requests/headerfilter.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace saltvane::gateway {

namespace {

std::optional<double> readDecimal(std::string_view text)
{
    double number = 0;
    const char* const end = text.data() + text.size();
    const auto [read, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc {} || read != end || !std::isfinite(number) || std::signbit(number))
        return std::nullopt;
    return number;
}

} // namespace

StatedLimit readStatedLimit(std::span<const model::Header> headers, std::string_view field)
{
    StatedLimit stated;
    for (const std::string_view text : requests::fieldValues(headers, field)) {
        stated.isStated = true;
        const std::optional<double> number = readDecimal(text);
        if (number)
            stated.perSecond = std::min(stated.perSecond.value_or(*number), *number);
    }
    return stated;
}

std::optional<Duration> readSlowStartLeft(std::string_view text)
{
    constexpr double MillisecondsPerSecond = 1000;
    const std::optional<double> milliseconds = readDecimal(text);
    if (!milliseconds)
        return std::nullopt;
    return fromSeconds(std::min(*milliseconds / MillisecondsPerSecond, toSeconds(MaxSlowStart)));
}

RequestedBackoff readRequestedBackoff(std::span<const model::Header> headers)
{
    RequestedBackoff backoff;
    for (const std::string_view text : requests::fieldValues(headers, requests::RetryAfterHeader)) {
        backoff.isRequested = true;
        const std::optional<double> seconds = readDecimal(text);
        if (!seconds)
            continue;
        const Duration duration = fromSeconds(std::min(*seconds, toSeconds(MaxBackoff)));
        backoff.duration = std::max(backoff.duration.value_or(duration), duration);
    }
    return backoff;
}

} // namespace saltvane::gateway
