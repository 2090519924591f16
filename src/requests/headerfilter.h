/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/requestmessages.h"

#include <span>
#include <string_view>
#include <vector>

namespace saltvane::requests {

// Headers of the interface to callers. docs/REQUESTS.md
inline constexpr std::string_view ServiceHeader = "Saltvane-Service";
inline constexpr std::string_view DeadlineHeader = "Saltvane-Deadline-Ms";
inline constexpr std::string_view KeyHeader = "Idempotency-Key";
inline constexpr std::string_view RequestIdHeader = "Saltvane-Request-Id";
inline constexpr std::string_view OutcomeHeader = "Saltvane-Outcome";
inline constexpr std::string_view ReasonHeader = "Saltvane-Reason";
inline constexpr std::string_view ReplayedHeader = "Saltvane-Replayed";
inline constexpr std::string_view RetryAfterHeader = "Retry-After";

/// All values of a header field, in order.
[[nodiscard]] std::vector<std::string_view> fieldValues(std::span<const model::Header> headers, std::string_view name);

/// The first value of a header field; empty if the field is absent.
[[nodiscard]] std::string_view firstFieldValue(std::span<const model::Header> headers, std::string_view name);

/// Whether the connection ends with this message (RFC 9112, 9.6).
[[nodiscard]] bool endsConnection(std::span<const model::Header> headers);

/// The end-to-end headers (RFC 9110, 7.6.1), without the framing of the body.
[[nodiscard]] std::vector<model::Header> endToEndHeaders(std::span<const model::Header> headers);

/// The headers of a caller's request that are forwarded to the target: the end-to-end headers without Expect, without
/// the framing of the body, and without any Saltvane-* header except Saltvane-Service.
[[nodiscard]] std::vector<model::Header> forwardableHeaders(std::span<const model::Header> headers);

/// The headers of a response that are forwarded to the caller: the end-to-end headers without the framing of the body
/// and without Saltvane-*.
[[nodiscard]] std::vector<model::Header> responseHeaders(std::span<const model::Header> headers);

} // namespace saltvane::requests
