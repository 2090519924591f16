/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/internal/routeplanfields.h"
#include "settings/routeplanformat.h"

#include <algorithm>

namespace saltvane::settings {

namespace {

using Json = nlohmann::json;

/// Line and column of a byte offset; both count from 1.
Location locationOf(std::string_view text, size_t byte, const std::string& source)
{
    const std::string_view before = text.substr(0, std::min(byte, text.size()));
    const size_t lineStart = before.rfind('\n') == std::string_view::npos ? 0 : before.rfind('\n') + 1;
    return {.source = source,
        .line = static_cast<int>(std::ranges::count(before, '\n')) + 1,
        .column = static_cast<int>(before.size() - lineStart) + 1};
}

} // namespace

Result<model::RoutePlan, Findings> parseRoutePlan(std::string_view text, const std::string& sourceName)
{
    Findings findings;
    try {
        const Json json = Json::parse(text);
        model::RoutePlan plan = readPlanFields(json, sourceName, findings);
        if (!findings.isEmpty())
            return findings;
        findings = model::checkRoutePlan(plan, sourceName);
        if (!findings.isEmpty())
            return findings;
        return plan;
    } catch (const Json::parse_error& error) {
        const size_t byte = error.byte > 0 ? error.byte - 1 : 0;
        findings.add({.location = locationOf(text, byte, sourceName), .field = "", .message = "is not valid JSON"});
        return findings;
    } catch (const Json::out_of_range&) {
        findings.add({.location = {.source = sourceName}, .field = "", .message = "has a number out of range"});
        return findings;
    }
}

} // namespace saltvane::settings
