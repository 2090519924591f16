/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/headerfilter.h"

#include <algorithm>
#include <array>

namespace saltvane::requests {

using model::isSameFieldName;

namespace {

constexpr std::string_view InternalPrefix = "Saltvane-";
/// Hop-by-hop fields (RFC 9110, 7.6.1) and Content-Length: the length of the body is transferred separately.
constexpr std::array<std::string_view, 10> HopByHopFields {"Connection", "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"};

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t";
    const size_t begin = text.find_first_not_of(Blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(Blanks) - begin + 1);
}

std::vector<std::string_view> connectionOptions(std::span<const model::Header> headers)
{
    std::vector<std::string_view> options;
    for (std::string_view value : fieldValues(headers, "Connection")) {
        while (!value.empty()) {
            const size_t comma = std::min(value.find(','), value.size());
            options.push_back(trimmed(value.substr(0, comma)));
            value.remove_prefix(std::min(comma + 1, value.size()));
        }
    }
    return options;
}

bool isNamed(std::span<const std::string_view> names, std::string_view field)
{
    return std::any_of(
        names.begin(), names.end(), [field](std::string_view name) { return isSameFieldName(name, field); });
}

bool isInternal(std::string_view field)
{
    return field.size() >= InternalPrefix.size()
        && isSameFieldName(field.substr(0, InternalPrefix.size()), InternalPrefix);
}

} // namespace

std::vector<std::string_view> fieldValues(std::span<const model::Header> headers, std::string_view name)
{
    std::vector<std::string_view> values;
    for (const model::Header& header : headers) {
        if (isSameFieldName(header.name, name))
            values.push_back(trimmed(header.value));
    }
    return values;
}

std::string_view firstFieldValue(std::span<const model::Header> headers, std::string_view name)
{
    for (const model::Header& header : headers) {
        if (isSameFieldName(header.name, name))
            return trimmed(header.value);
    }
    return {};
}

bool endsConnection(std::span<const model::Header> headers)
{
    const std::vector<std::string_view> options = connectionOptions(headers);
    return isNamed(options, "close");
}

std::vector<model::Header> endToEndHeaders(std::span<const model::Header> headers)
{
    const std::vector<std::string_view> options = connectionOptions(headers);
    std::vector<model::Header> remaining;
    remaining.reserve(headers.size() + 2);
    for (const model::Header& header : headers) {
        if (isNamed(HopByHopFields, header.name) || isNamed(options, header.name))
            continue;
        remaining.push_back(header);
    }
    return remaining;
}

std::vector<model::Header> forwardableHeaders(std::span<const model::Header> headers)
{
    std::vector<model::Header> remaining = endToEndHeaders(headers);
    std::erase_if(remaining, [](const model::Header& header) {
        if (isSameFieldName(header.name, "Expect"))
            return true;
        return isInternal(header.name) && !isSameFieldName(header.name, ServiceHeader);
    });
    return remaining;
}

std::vector<model::Header> responseHeaders(std::span<const model::Header> headers)
{
    std::vector<model::Header> remaining = endToEndHeaders(headers);
    std::erase_if(remaining, [](const model::Header& header) { return isInternal(header.name); });
    return remaining;
}

} // namespace saltvane::requests
