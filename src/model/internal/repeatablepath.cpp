/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/internal/repeatablepath.h"

#include <algorithm>
#include <array>

namespace saltvane::model {
namespace {

constexpr std::array<std::string_view, 9> AmbiguousParts {"/.", "//", "\\", "%2e", "%2E", "%2f", "%2F", "%5c", "%5C"};

bool isAmbiguous(std::string_view path)
{
    return std::any_of(AmbiguousParts.begin(), AmbiguousParts.end(),
        [path](std::string_view part) { return path.find(part) != std::string_view::npos; });
}

} // namespace

bool isPathUnder(std::string_view path, std::string_view prefix)
{
    path = path.substr(0, path.find_first_of("?#"));
    if (prefix.empty() || isAmbiguous(path) || !path.starts_with(prefix))
        return false;
    return prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace saltvane::model
