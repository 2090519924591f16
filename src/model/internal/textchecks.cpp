/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/textchecks.h"

#include <algorithm>

namespace saltvane::model {
namespace {

constexpr size_t MaxNameLength = 64;
constexpr size_t PublicKeyBase64Size = 44; // 32 bytes
/// Valid last digits before the padding: the last digit of 32 bytes in base64 has four significant bits.
constexpr std::string_view FourBitDigits = "AEIMQUYcgkosw048";

bool isAlphanumeric(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); }

bool isNameCharacter(char c) { return isAlphanumeric(c) || c == '-' || c == '_' || c == '.'; }

bool isBase64Character(char c) { return isAlphanumeric(c) || c == '+' || c == '/'; }

} // namespace

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > MaxNameLength || text.front() == '.')
        return false;
    return std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isPublicKey(std::string_view text)
{
    if (text.size() != PublicKeyBase64Size || text.back() != '=')
        return false;
    const std::string_view digits = text.substr(0, PublicKeyBase64Size - 1);
    if (FourBitDigits.find(digits.back()) == std::string_view::npos)
        return false;
    return std::all_of(digits.begin(), digits.end(), isBase64Character);
}

} // namespace saltvane::model
