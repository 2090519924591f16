/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/internal/yamlcontext.h"

namespace saltvane::settings {

YamlContext::YamlContext(std::string sourceName)
    : sourceName_(std::move(sourceName))
{
}

Place YamlContext::place(int line, int column) const
{
    if (line < 0 || column < 0)
        return {.source = sourceName_};
    return {.source = sourceName_, .line = line + 1, .column = column + 1};
}

const YamlNode& YamlContext::storeDocument(YamlNode document)
{
    document_ = std::move(document);
    return document_;
}

void YamlContext::add(Place place, std::string field, std::string message)
{
    findings_.add({.place = std::move(place), .field = std::move(field), .message = std::move(message)});
}

YamlContext::FieldKey YamlContext::keyOf(const Place& entry, const std::string& field)
{
    return {{entry.line, entry.column}, field};
}

void YamlContext::recordField(const Place& entry, const std::string& field, const Place& value)
{
    fields_[keyOf(entry, field)].value = value;
}

void YamlContext::recordInvalidField(const Place& entry, const std::string& field)
{
    fields_[keyOf(entry, field)].isInvalid = true;
}

bool YamlContext::isInvalid(const Place& entry, std::string field) const
{
    while (!field.empty()) {
        const auto recorded = fields_.find(keyOf(entry, field));
        if (recorded != fields_.end() && recorded->second.isInvalid)
            return true;
        const size_t dot = field.rfind('.');
        field.resize(dot == std::string::npos ? 0 : dot);
    }
    return false;
}

void YamlContext::addContentFindings(const Findings& contentFindings)
{
    for (const Finding& finding : contentFindings.items()) {
        if (isInvalid(finding.place, finding.field))
            continue;
        Place place = finding.place.line > 0 ? finding.place : this->place(0, 0);
        const auto recorded = fields_.find(keyOf(finding.place, finding.field));
        if (recorded != fields_.end())
            place = recorded->second.value;
        add(place, finding.field, finding.message);
    }
}

Findings YamlContext::takeFindings()
{
    findings_.sortByPlace();
    return std::move(findings_);
}

} // namespace saltvane::settings
