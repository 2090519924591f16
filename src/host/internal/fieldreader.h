/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "model/hostmessages.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane::host {

/// Reads typed members of a JSON object and adds a finding for each missing or invalid one, which then reads as a
/// default: the smallest allowed number, the first choice or an empty value.
class FieldReader {
public:
    /// Both references must outlive the reader; `prefix`, such as "load.", is prepended to the names in findings.
    FieldReader(const nlohmann::json& object, Findings& findings, std::string prefix = {});

    /// Required, not empty, at most `maxBytes` bytes.
    [[nodiscard]] std::string text(std::string_view name, size_t maxBytes);
    /// Required, an integer from `min` to `max`.
    [[nodiscard]] uint64_t number(std::string_view name, uint64_t min, uint64_t max);
    /// Required, one of `choices`; returns the index of the choice.
    [[nodiscard]] size_t choice(std::string_view name, const std::vector<std::string_view>& choices);
    /// Required, "ip:port".
    [[nodiscard]] model::Address address(std::string_view name);
    /// Optional; null counts as absent.
    [[nodiscard]] std::optional<FieldReader> object(std::string_view name);
    /// Adds a finding for each member that was not read.
    void rejectUnknown();

private:
    [[nodiscard]] const nlohmann::json* find(std::string_view name);
    void add(std::string_view name, std::string message);

    const nlohmann::json& object_;
    Findings& findings_;
    std::string prefix_;
    std::set<std::string, std::less<>> read_;
};

/// Parses a request's body; no value and a finding where it is not a JSON object.
[[nodiscard]] std::optional<nlohmann::json> parseObject(std::string_view body, Findings& findings);

/// True for an IPv4 or IPv6 address in text form.
[[nodiscard]] bool isIpAddress(const std::string& text);

} // namespace saltvane::host
