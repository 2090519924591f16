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

Location YamlContext::location(int line, int column) const
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

void YamlContext::add(Location location, std::string field, std::string message)
{
    findings_.add({.location = std::move(location), .field = std::move(field), .message = std::move(message)});
}

YamlContext::FieldKey YamlContext::keyOf(const Location& entry, const std::string& field)
{
    return {{entry.line, entry.column}, field};
}

void YamlContext::recordField(const Location& entry, const std::string& field, const Location& value)
{
    fields_[keyOf(entry, field)].value = value;
}

void YamlContext::recordInvalidField(const Location& entry, const std::string& field)
{
    fields_[keyOf(entry, field)].isInvalid = true;
}

bool YamlContext::isInvalid(const Location& entry, std::string field) const
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
        if (isInvalid(finding.location, finding.field))
            continue;
        Location location = finding.location.line > 0 ? finding.location : this->location(0, 0);
        const auto recorded = fields_.find(keyOf(finding.location, finding.field));
        if (recorded != fields_.end())
            location = recorded->second.value;
        add(location, finding.field, finding.message);
    }
}

Findings YamlContext::takeFindings()
{
    findings_.sortByLocation();
    return std::move(findings_);
}

} // namespace saltvane::settings
