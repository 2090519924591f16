/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/hostmessages.h"
#include "settings/internal/yamlcontext.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane::settings {

/// A list item with its location.
struct LocatedText {
    std::string text;
    Location location;
};

struct IntegerRange {
    uint64_t minimum = 0;
    uint64_t maximum = UINT64_MAX;
};

struct DurationRange {
    Duration minimum = Duration::zero();
    Duration maximum = 24h * 365;
};

constexpr std::string_view AddressRule = "must be an IP address and a port from 1 to 65535, as in 127.0.0.1:80";

enum class Presence { Required, Optional };

/// Typed access to one YAML mapping, which the context stores. A field that is missing or has the wrong type is
/// reported as a finding, and the accessor returns the fallback (or an empty value). Without a fallback the field is
/// required.
class YamlReader {
public:
    /// Reader of the root mapping of a document; a parse error is reported as a finding.
    [[nodiscard]] static std::optional<YamlReader> parse(std::string_view text, YamlContext& context);

    [[nodiscard]] const Location& location() const { return place_; }
    [[nodiscard]] bool has(std::string_view key) const;

    std::string text(std::string_view key, std::optional<std::string> fallback = std::nullopt);
    uint64_t integer(std::string_view key, IntegerRange range, std::optional<uint64_t> fallback = std::nullopt);
    double decimal(std::string_view key, std::optional<double> fallback = std::nullopt);
    /// A decimal number of `unit`; the key's suffix names the unit.
    Duration duration(
        std::string_view key, Duration unit, std::optional<Duration> fallback = std::nullopt, DurationRange range = {});
    model::Address address(std::string_view key);
    std::vector<LocatedText> texts(std::string_view key, Presence presence);
    std::optional<YamlReader> mapping(std::string_view key, Presence presence);
    std::vector<YamlReader> mappings(std::string_view key, Presence presence);

    /// Adds a finding about a field, unless it has one already.
    void addFinding(std::string_view key, std::string message);
    /// Adds a finding about one item of a list.
    void addItemFinding(std::string_view key, const Location& location, std::string message);
    /// Whether the field has a finding. Used to suppress findings that would only result from that one.
    [[nodiscard]] bool isInvalid(std::string_view key) const;
    /// Adds a finding for each key that no accessor has read.
    void reportUnknownKeys();

private:
    struct Field {
        std::string key;
        Location keyLocation;
        const YamlNode* value = nullptr;
        bool isRead = false;
    };

    YamlReader(YamlContext& context, const YamlNode& node, std::string path, Location entry);

    void readFields(const YamlNode& node);
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    [[nodiscard]] Location locationOf(const YamlNode& node) const;
    Field* find(std::string_view key);
    /// The value of a field; nullptr if it is absent or null. Adds a finding if it is null, or required and absent.
    const YamlNode* value(std::string_view key, Presence presence);
    std::optional<std::string> scalar(std::string_view key, Presence presence);
    std::optional<double> number(std::string_view key, Presence presence);
    const YamlNode* sequence(std::string_view key, Presence presence);
    /// Adds a finding and marks the field as invalid.
    void rejectField(std::string_view key, const Location& location, std::string message);

    YamlContext* context_;
    std::string path_; ///< Dotted path of the mapping; empty for the root.
    Location place_;
    Location entry_; ///< Innermost enclosing list item; unknown at the root. Content checks report it as the location.
    std::vector<Field> fields_;
    std::vector<std::string> invalidFields_;
};

} // namespace saltvane::settings
