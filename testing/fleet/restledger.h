/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "crashingtargets.h"

#include <map>
#include <string>
#include <utility>

namespace saltvane::fleet::test {

/// Checks that gateways respect the backoff that targets request: from half a second after a target rejected a request
/// of a gateway until the end of the requested time, that gateway may send it at most two requests.
class RestLedger {
public:
    RestLedger(Fleet& fleet, CrashingTargets& targets);

    /// Exempts a gateway that restarted, stalled or was cut off from the backoffs requested before.
    void exempt(size_t gateway);

    /// Requests beyond the two allowed, in the backoff with the most requests.
    [[nodiscard]] size_t maxExcess() const { return maxRequests_ > Allowed ? maxRequests_ - Allowed : 0; }
    /// Number of backoffs that were requested of gateways.
    [[nodiscard]] size_t backoffs() const { return backoffs_; }
    /// Number of requests that targets rejected.
    [[nodiscard]] size_t rejected() const { return rejected_; }

private:
    static constexpr size_t Allowed = 2;

    struct Backoff {
        Timestamp from;
        Timestamp until;
        size_t requests = 0;
    };
    [[nodiscard]] Timestamp now() const { return fleet_.registries().now(); }

    Fleet& fleet_;
    std::map<std::pair<std::string, size_t>, Backoff> current_; ///< By incarnation of the target and gateway.
    size_t maxRequests_ = 0;
    size_t backoffs_ = 0;
    size_t rejected_ = 0;
};

} // namespace saltvane::fleet::test
