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

/// What one start of a target said in its answers of how much it takes.
struct TargetBackpressure {
    std::optional<double> limit; ///< Requests a second, of all gateways together.
    Timestamp limitAt {}; ///< When an answer last told of it, naming one or none.
    Timestamp toldAt {}; ///< When the registry was last told.
    Timestamp noCreditUntil {}; ///< No credit can be expected before.

    Timestamp restUntil {}; ///< It turned requests of this gateway away, and wants none of them before.

    [[nodiscard]] bool isEmpty() const { return limitAt == Timestamp {} && restUntil == Timestamp {}; }
    /// New work is not sent before.
    [[nodiscard]] Timestamp closedUntil() const { return std::max(noCreditUntil, restUntil); }
};

/// A limit as the head of an answer names it.
struct NamedLimit {
    bool isNamed = false;
    std::optional<double> perSecond; ///< None: what is named can't be read.
};

/// How long a target that turned a request away wants nothing.
struct WantedRest {
    bool isWanted = false;
    std::optional<Duration> duration; ///< None: what is said can't be read.
};

/// A longer one is cut to it: what the target wants by then, its next answer tells.
inline constexpr Duration LongestRest = std::chrono::hours(1);

/// Reads `Retry-After` (RFC 9110, 10.2.3) in seconds, fractions included. Of several fields the longest counts.
[[nodiscard]] WantedRest readWantedRest(std::span<const model::Header> headers);

/// Larger limits bind nobody.
inline constexpr double LargestLimit = 1e6;

/// Reads a decimal number that is not negative. Of several fields the lowest that can be read counts.
[[nodiscard]] NamedLimit readNamedLimit(std::span<const model::Header> headers, std::string_view field);

} // namespace saltvane::gateway
