/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/finding.h"

#include <algorithm>
#include <utility>

namespace saltvane {

void Findings::add(Finding finding) { items_.push_back(std::move(finding)); }

void Findings::sortByLocation()
{
    std::stable_sort(items_.begin(), items_.end(),
        [](const Finding& left, const Finding& right) { return left.location < right.location; });
}

std::string toString(const Finding& finding)
{
    std::string text = finding.location.source;
    if (finding.location.line > 0)
        text += ":" + std::to_string(finding.location.line) + ":" + std::to_string(finding.location.column);
    text += ": ";
    if (!finding.field.empty())
        text += finding.field + ": ";
    return text + finding.message;
}

} // namespace saltvane
