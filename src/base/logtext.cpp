/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/logtext.h"

#include <array>
#include <charconv>

namespace saltvane {

std::string logValue(std::string_view text)
{
    if (text.empty())
        return "-";
    std::string sanitized(text);
    for (char& character : sanitized) {
        const bool isAllowed = character > ' ' && character < '\x7f' && character != '"' && character != '=';
        if (!isAllowed)
            character = '_';
    }
    return sanitized;
}

std::string shortestDecimal(double number)
{
    constexpr size_t MaxCharacters = 32;
    std::array<char, MaxCharacters> text {};
    const auto written = std::to_chars(text.data(), text.data() + text.size(), number);
    return {text.data(), written.ptr};
}

} // namespace saltvane
