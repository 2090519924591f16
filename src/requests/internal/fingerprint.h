/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/requestbody.h"

#include <cstdint>
#include <string_view>

namespace saltvane::requests {

/// The fingerprint that all requests with one key must share: XXH64 of service, method, path and body. For a body that
/// fills InitialBodyWindow, only the first InitialBodyWindow bytes and the declared length are hashed.
[[nodiscard]] uint64_t fingerprintOf(
    std::string_view service, std::string_view method, std::string_view path, const RequestBody& body);

} // namespace saltvane::requests
