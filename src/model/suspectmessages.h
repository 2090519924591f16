/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/requestdigest.h"

#include <cstdint>
#include <vector>

/// Messages about requests during which targets ended (docs/design/0013-fatal-requests.md).
namespace saltvane::model {

/// A run of a request during which its target ended. Times are relative to the sending of the message.
struct TargetEnd {
    uint64_t target = 0; ///< The target's incarnation, by incarnationHash().
    Duration sentAgo {};
    Duration endedAgo {};
    /// Fraction, 0 to 1, of the recent runs of other requests that failed in the same way at the gateway that saw this.
    double usualShare = 0;
    auto operator<=>(const TargetEnd&) const = default;
};

/// A host's information about one such request. Two records of a request can be merged in any order.
struct SuspectRequest {
    RequestDigest digest;
    /// Incremented when an answer to the request invalidates `ends`. A later epoch replaces an earlier one.
    uint64_t epoch = 0;
    bool isBlamed = false; ///< Sent to targets only as a trial.
    uint32_t trials = 0; ///< Trials since then, which test whether the request still ends its target.
    Duration restingFor {}; ///< Time since it was blamed or, if later, since its last trial.
    Duration askedAgo {}; ///< Time since a caller last sent it.
    std::vector<TargetEnd> ends;
    auto operator<=>(const SuspectRequest&) const = default;
};

/// From a gateway: the runs that it observed itself. From a control host: what it received.
struct SuspectReport {
    std::vector<SuspectRequest> requests;
};

} // namespace saltvane::model
