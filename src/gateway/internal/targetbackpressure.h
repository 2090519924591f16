/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/requestmessages.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string_view>

namespace saltvane::gateway {

/// Back-pressure that one incarnation of a target signalled in its responses.
struct TargetBackpressure {
    std::optional<double> limit; ///< Requests per second, of all gateways together.
    Timestamp limitUpdatedAt {}; ///< When a response last stated a limit or that there is none.
    Timestamp reportedAt {}; ///< When the limit was last reported to the registry.
    Timestamp noCreditUntil {}; ///< No credit can be expected before.

    Timestamp backoffUntil {}; ///< It refused requests of this gateway and wants none before.

    [[nodiscard]] bool isEmpty() const { return limitUpdatedAt == Timestamp {} && backoffUntil == Timestamp {}; }
    /// New requests are not sent before this time.
    [[nodiscard]] Timestamp unavailableUntil() const { return std::max(noCreditUntil, backoffUntil); }
};

/// A limit stated in the head of a response.
struct StatedLimit {
    bool isStated = false;
    std::optional<double> perSecond; ///< None if the value can't be parsed.
};

/// Backoff that a target requested when it refused a request.
struct RequestedBackoff {
    bool isRequested = false;
    std::optional<Duration> duration; ///< None if the value can't be parsed.
};

/// Longer backoffs are cut to this; the next response after it tells whether the target still wants no requests.
inline constexpr Duration MaxBackoff = std::chrono::hours(1);

/// Reads `Retry-After` (RFC 9110, 10.2.3) in seconds, including fractions. The longest of several fields is used.
[[nodiscard]] RequestedBackoff readRequestedBackoff(std::span<const model::Header> headers);

/// Larger limits have no effect.
inline constexpr double MaxLimitPerSecond = 1e6;

/// Reads a non-negative decimal number. The lowest valid value of several fields is used.
[[nodiscard]] StatedLimit readStatedLimit(std::span<const model::Header> headers, std::string_view field);

/// Longer slow starts are cut to this.
inline constexpr Duration MaxSlowStart = std::chrono::hours(24);

/// Reads the milliseconds that are left of a slow start; none if the text is not a non-negative decimal number.
[[nodiscard]] std::optional<Duration> readSlowStartLeft(std::string_view text);

} // namespace saltvane::gateway
