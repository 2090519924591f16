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

// Header names of the contract with callers. docs/REQUESTS.md
inline constexpr std::string_view ServiceHeader = "Saltvane-Service";
inline constexpr std::string_view DeadlineHeader = "Saltvane-Deadline-Ms";
inline constexpr std::string_view KeyHeader = "Idempotency-Key";
inline constexpr std::string_view RequestIdHeader = "Saltvane-Request-Id";
inline constexpr std::string_view OutcomeHeader = "Saltvane-Outcome";
inline constexpr std::string_view ReasonHeader = "Saltvane-Reason";
inline constexpr std::string_view ReplayedHeader = "Saltvane-Replayed";
inline constexpr std::string_view RetryAfterHeader = "Retry-After";

/// All values of a field, in order.
[[nodiscard]] std::vector<std::string_view> fieldValues(std::span<const model::Header> headers, std::string_view name);

/// The first value of a field; empty where it is absent.
[[nodiscard]] std::string_view firstFieldValue(std::span<const model::Header> headers, std::string_view name);

/// The headers that concern more than one connection (RFC 9110, 7.6.1), without the body's framing.
[[nodiscard]] std::vector<model::Header> endToEndHeaders(std::span<const model::Header> headers);

/// The headers of a caller's request that go on to the target: end-to-end ones (RFC 9110, 7.6.1) without Expect,
/// without the body's framing, and without any Saltvane-* but Saltvane-Service.
[[nodiscard]] std::vector<model::Header> forwardableHeaders(std::span<const model::Header> headers);

/// The headers of an answer that go on to the caller: end-to-end ones without framing and without Saltvane-*.
[[nodiscard]] std::vector<model::Header> answerHeaders(std::span<const model::Header> headers);

} // namespace saltvane::requests
