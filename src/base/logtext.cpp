/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/logtext.h"

#include <array>
#include <charconv>

namespace saltvane {

std::string logWord(std::string_view text)
{
    if (text.empty())
        return "-";
    std::string clean(text);
    for (char& character : clean) {
        const bool isPlain = character > ' ' && character < '\x7f' && character != '"' && character != '=';
        if (!isPlain)
            character = '_';
    }
    return clean;
}

std::string decimalText(double number)
{
    constexpr size_t MostCharacters = 32;
    std::array<char, MostCharacters> text {};
    const auto written = std::to_chars(text.data(), text.data() + text.size(), number);
    return {text.data(), written.ptr};
}

} // namespace saltvane
