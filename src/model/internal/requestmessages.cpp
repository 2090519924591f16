/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/requestmessages.h"

#include <algorithm>

namespace saltvane::model {

namespace {

/// Converts ASCII letters only, independently of the locale: header field names are ASCII.
char toLower(char letter)
{
    const bool isUpper = letter >= 'A' && letter <= 'Z';
    return isUpper ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

bool isSameFieldName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char first, char second) { return toLower(first) == toLower(second); });
}

} // namespace saltvane::model
