/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "settings/internal/yamlnode.h"

#include <map>
#include <string>
#include <utility>

namespace saltvane::settings {

/// State shared by the readers of one YAML file: its name, the findings, and the location of each field.
class YamlContext {
public:
    explicit YamlContext(std::string sourceName);

    /// Location for a zero-based mark of the parser; unknown if the mark is negative.
    [[nodiscard]] Location location(int line, int column) const;

    /// Stores the parsed document, which the readers point into.
    const YamlNode& storeDocument(YamlNode document);

    void add(Location location, std::string field, std::string message);

    /// Records the location of the value of `field`. `entry` is the location of the list entry that contains it.
    void recordField(const Location& entry, const std::string& field, const Location& value);
    /// Records that a finding about the field was added.
    void recordInvalidField(const Location& entry, const std::string& field);

    /// Adds the findings of a check of the content. Findings about invalid fields, or about fields within one, are
    /// dropped, because these have a finding already. The others get the location of the field's value.
    void addContentFindings(const Findings& contentFindings);

    /// All findings, sorted by location.
    [[nodiscard]] Findings takeFindings();
    [[nodiscard]] bool hasFindings() const { return !findings_.isEmpty(); }

private:
    struct RecordedField {
        Location value; ///< Location of the field's value.
        bool isInvalid = false;
    };
    /// Line and column of the list entry, and the path of the field.
    using FieldKey = std::pair<std::pair<int, int>, std::string>;

    [[nodiscard]] bool isInvalid(const Location& entry, std::string field) const;
    [[nodiscard]] static FieldKey keyOf(const Location& entry, const std::string& field);

    std::string sourceName_;
    YamlNode document_;
    Findings findings_;
    std::map<FieldKey, RecordedField> fields_;
};

} // namespace saltvane::settings
