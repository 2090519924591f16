/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <cstdint>

namespace saltvane::steering {

/// Ejection state of one target, from the results of this host's requests: ejected after consecutive failures, restored
/// by a successful trial request. One trial runs at a time.
class Ejection {
public:
    /// Counts a failure; returns true if there were enough consecutive failures to eject the target.
    [[nodiscard]] bool recordFailure(uint32_t failuresToEject);
    void recordAnswer(uint32_t failuresToEject);
    /// Ejects the target for `base`, doubled for each consecutive ejection. A failed trial ejects it again.
    void eject(Duration base, Timestamp now);
    /// Ends a trial without a result; another one may start.
    void endTrial() { isTrialRunning_ = false; }
    void startTrial() { isTrialRunning_ = true; }
    void restore();

    [[nodiscard]] bool isEjected() const { return isEjected_; }
    /// True if the ejection time has passed and no trial runs: one request may test the target.
    [[nodiscard]] bool isReadyForTrial(Timestamp now) const
    {
        return isEjected_ && !isTrialRunning_ && now >= ejectedUntil_;
    }

private:
    bool isEjected_ = false;
    bool isTrialRunning_ = false;
    uint32_t consecutiveFailures_ = 0;
    uint32_t consecutiveAnswers_ = 0;
    uint32_t consecutiveEjections_ = 0;
    Timestamp ejectedUntil_;
};

} // namespace saltvane::steering
