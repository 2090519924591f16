/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/apitypes.h"

#include <algorithm>
#include <charconv>

namespace saltvane::host {

namespace {

constexpr int HexBase = 16;
constexpr size_t EscapeLength = 3;

std::optional<std::string> decode(std::string_view text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
            continue;
        }
        if (i + EscapeLength > text.size())
            return std::nullopt;
        const char* first = text.data() + i + 1;
        const char* last = text.data() + i + EscapeLength;
        unsigned value = 0;
        const auto [end, error] = std::from_chars(first, last, value, HexBase);
        if (error != std::errc {} || end != last)
            return std::nullopt;
        decoded.push_back(static_cast<char>(value));
        i += EscapeLength - 1;
    }
    return decoded;
}

} // namespace

std::optional<std::string_view> ApiRequest::header(std::string_view name) const
{
    for (const model::Header& header : headers) {
        if (model::isSameFieldName(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

std::string_view withoutQuery(std::string_view pathWithQuery)
{
    return pathWithQuery.substr(0, pathWithQuery.find('?'));
}

std::optional<std::vector<QueryParameter>> parseQuery(std::string_view pathWithQuery)
{
    std::vector<QueryParameter> parameters;
    const size_t queryMark = pathWithQuery.find('?');
    if (queryMark == std::string_view::npos)
        return parameters;
    std::string_view rest = pathWithQuery.substr(queryMark + 1);
    while (!rest.empty()) {
        const std::string_view part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
        if (part.empty())
            continue;
        const size_t equals = part.find('=');
        const std::string_view rawValue = equals == std::string_view::npos ? "" : part.substr(equals + 1);
        std::optional<std::string> name = decode(part.substr(0, equals));
        std::optional<std::string> value = decode(rawValue);
        if (!name || !value)
            return std::nullopt;
        parameters.push_back({std::move(*name), std::move(*value)});
    }
    return parameters;
}

ApiResponse makeResponse(int status, const nlohmann::ordered_json& body)
{
    // The body may echo input of the caller, which need not be valid UTF-8.
    return {
        .status = status, .body = body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n"};
}

ApiResponse makeError(int status, std::string_view error, std::string_view field, std::string_view message)
{
    nlohmann::ordered_json body {{"error", error}};
    if (!field.empty())
        body["field"] = field;
    if (!message.empty())
        body["message"] = message;
    return makeResponse(status, body);
}

ApiResponse makeError(int status, std::string_view error, std::span<const Finding> findings)
{
    nlohmann::ordered_json body {{"error", error}};
    if (!findings.empty()) {
        body["field"] = findings.front().field;
        body["message"] = findings.front().message;
    }
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const Finding& finding : findings) {
        nlohmann::ordered_json item {{"field", finding.field}, {"message", finding.message}};
        if (finding.location.line > 0) {
            item["line"] = finding.location.line;
            item["column"] = finding.location.column;
        }
        list.push_back(std::move(item));
    }
    body["findings"] = std::move(list);
    return makeResponse(status, body);
}

} // namespace saltvane::host
