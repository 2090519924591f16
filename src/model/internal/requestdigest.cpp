/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/requestdigest.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace saltvane::model {

std::string toString(const RequestDigest& digest)
{
    constexpr size_t HexDigits = 16;
    std::array<char, HexDigits + 1> text {};
    (void)std::snprintf(text.data(), text.size(), "%016" PRIx64, digest.high);
    return text.data();
}

} // namespace saltvane::model
