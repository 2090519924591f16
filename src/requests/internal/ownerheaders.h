/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/requestmessages.h"

#include <optional>
#include <span>
#include <string_view>

namespace saltvane::requests {

/// True if the response states that the target did not run the request: 429, or 503 with "Saltvane-Shed: 1"
/// (docs/TARGETS.md).
[[nodiscard]] bool isShedAnswer(int status, std::span<const model::Header> headers);

/// Value of Retry-After in seconds (RFC 9110, 10.2.3), limited to an hour; no value if the header is absent or contains
/// a date.
[[nodiscard]] std::optional<Duration> retryAfterOf(std::span<const model::Header> headers);

/// True if the response has no body whatever length it states (RFC 9110, 6.4.1).
[[nodiscard]] bool isBodylessAnswer(std::string_view method, int status);

} // namespace saltvane::requests
