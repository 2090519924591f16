/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "endingtargets.h"

#include <map>
#include <string>
#include <utility>

namespace saltvane::fleet::test {

/// Holds what reaches targets to the rest that they ask for: from half a second after a gateway was turned away until
/// the end of the time that it was told, two requests of it at the most.
class RestLedger {
public:
    RestLedger(Fleet& fleet, EndingTargets& targets);

    /// A restart, stall or cut of the gateway excuses it from what it was told before.
    void excuse(size_t gateway);

    /// Requests beyond two in the rest that had most of them.
    [[nodiscard]] size_t mostBeyond() const { return most_ > Allowed ? most_ - Allowed : 0; }
    /// Rests that gateways were told of.
    [[nodiscard]] size_t rests() const { return rests_; }
    /// Requests that were turned away.
    [[nodiscard]] size_t turnedAway() const { return turnedAway_; }

private:
    static constexpr size_t Allowed = 2;

    struct Rest {
        Timestamp from;
        Timestamp until;
        size_t requests = 0;
    };
    [[nodiscard]] Timestamp now() const { return fleet_.registries().now(); }

    Fleet& fleet_;
    std::map<std::pair<std::string, size_t>, Rest> current_; ///< By start of the target and gateway.
    size_t most_ = 0;
    size_t rests_ = 0;
    size_t turnedAway_ = 0;
};

} // namespace saltvane::fleet::test
