/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "base/timetypes.h"
#include "model/hostmessages.h"
#include "model/textchecks.h"
#include "registry/internal/targetreports.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace saltvane::registry {

/// Parses the fields of the JSON body of a call and collects their errors.
class BodyReader {
public:
    using Json = nlohmann::json;

    BodyReader(const char* source, std::string_view body)
        : source_(source)
    {
        if (body.size() > MaxTargetReportBytes) {
            add("", "must have at most " + std::to_string(MaxTargetReportBytes) + " bytes");
            return;
        }
        std::set<std::string> keys;
        const auto rejectDuplicateKey = [&](int depth, Json::parse_event_t event, const Json& key) {
            const bool isField = depth == 1 && event == Json::parse_event_t::key;
            if (isField && !keys.insert(key.get<std::string>()).second)
                add(key.get<std::string>(), "is listed twice");
            return true;
        };
        json_ = Json::parse(body, rejectDuplicateKey, false);
        if (!json_.is_object())
            add("", "must be a JSON object");
    }

    [[nodiscard]] const Findings& findings() const { return findings_; }
    void add(std::string field, std::string message)
    {
        findings_.add({.location = {.source = source_}, .field = std::move(field), .message = std::move(message)});
    }

    std::string text(const char* field)
    {
        const Json* value = find(field);
        if (value != nullptr && value->is_string())
            return value->get<std::string>();
        add(field, "must be a string");
        return {};
    }
    std::string name(const char* field)
    {
        std::string value = text(field);
        if (!value.empty() && !model::isName(value))
            add(field, std::string(model::NameRule));
        return value;
    }
    uint64_t number(const char* field, uint64_t min, uint64_t max)
    {
        const Json* value = find(field);
        const bool isInRange = value != nullptr && value->is_number_unsigned() && value->get<uint64_t>() >= min
            && value->get<uint64_t>() <= max;
        if (isInRange)
            return value->get<uint64_t>();
        add(field, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }
    /// 0 where the field is absent.
    Incarnation incarnation(const char* field)
    {
        if (find(field) == nullptr)
            return {};
        return {number(field, 1, MaxStartUnixMs)};
    }
    /// Zero where the field is absent.
    Duration milliseconds(const char* field, double max)
    {
        const Json* value = find(field);
        if (value == nullptr)
            return {};
        const double number = value->is_number() ? value->get<double>() : std::numeric_limits<double>::quiet_NaN();
        if (std::isfinite(number) && number >= 0 && number <= max)
            return fromSeconds(number / 1000);
        add(field, "must be milliseconds from 0 to " + std::to_string(static_cast<uint64_t>(max)));
        return {};
    }
    /// A version of targets' software; empty where the field is absent.
    std::string version(const char* field)
    {
        if (find(field) == nullptr)
            return {};
        std::string value = text(field);
        if (value.size() > MaxVersionBytes)
            add(field, "must have at most " + std::to_string(MaxVersionBytes) + " bytes");
        return value;
    }
    /// Seconds, within a range.
    Duration seconds(const char* field, Duration min, Duration max)
    {
        const Json* value = find(field);
        const double number
            = value != nullptr && value->is_number() ? value->get<double>() : std::numeric_limits<double>::quiet_NaN();
        if (number >= toSeconds(min) && number <= toSeconds(max))
            return fromSeconds(number);
        add(field,
            "must be seconds from " + std::to_string(std::chrono::floor<std::chrono::seconds>(min).count()) + " to "
                + std::to_string(std::chrono::floor<std::chrono::seconds>(max).count()));
        return min;
    }
    bool isLeaving(const char* field)
    {
        const std::string state = text(field);
        if (!state.empty() && state != "ready" && state != "leaving")
            add(field, "must be ready or leaving");
        return state == "leaving";
    }
    model::Address address(const char* field)
    {
        if (const auto parsed = model::parseAddress(text(field)))
            return *parsed;
        add(field, "must be an IP address and a port");
        return {};
    }

private:
    /// The year 2100. A later time is invalid, and its incarnation would take precedence over all valid ones.
    static constexpr uint64_t MaxStartUnixMs = 4'102'444'800'000;
    static constexpr size_t MaxVersionBytes = 64;

    [[nodiscard]] const Json* find(const char* field) const
    {
        const auto found = json_.find(field);
        return found == json_.end() ? nullptr : &*found;
    }

    const char* source_;
    Json json_;
    Findings findings_;
};

} // namespace saltvane::registry
