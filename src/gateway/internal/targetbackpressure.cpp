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

NamedLimit readNamedLimit(std::span<const model::Header> headers, std::string_view field)
{
    NamedLimit named;
    for (const std::string_view text : requests::fieldValues(headers, field)) {
        named.isNamed = true;
        const std::optional<double> number = readDecimal(text);
        if (number)
            named.perSecond = std::min(named.perSecond.value_or(*number), *number);
    }
    return named;
}

WantedRest readWantedRest(std::span<const model::Header> headers)
{
    WantedRest rest;
    for (const std::string_view text : requests::fieldValues(headers, requests::RetryAfterHeader)) {
        rest.isWanted = true;
        const std::optional<double> seconds = readDecimal(text);
        if (!seconds)
            continue;
        const Duration duration = fromSeconds(std::min(*seconds, toSeconds(LongestRest)));
        rest.duration = std::max(rest.duration.value_or(duration), duration);
    }
    return rest;
}

} // namespace saltvane::gateway
