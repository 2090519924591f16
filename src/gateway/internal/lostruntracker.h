/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/requestdigest.h"
#include "model/targetmessages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace saltvane::gateway {

/// A run of a request at one incarnation of a target that did not get a complete response.
struct LostRun {
    model::RequestDigest digest;
    model::TargetIncarnation target;
    Timestamp sentAt;
    Timestamp lostAt;
};

/// Tracks lost runs for which it is not known yet whether their target has stopped. Some targets stop without closing
/// their connections, and are known to have stopped only when they report again.
class LostRunTracker {
public:
    void record(const LostRun& run);
    /// Removes and returns the runs at a target that has stopped.
    [[nodiscard]] std::vector<LostRun> removeLostAt(const model::TargetIncarnation& target);
    /// The target answered, so it has not stopped.
    void forget(const model::TargetIncarnation& target) { byTarget_.erase(target); }
    void expire(Timestamp now);

private:
    /// Targets that stop are back within seconds, and all hosts forget unresponsive ones after 12 s.
    static constexpr Duration MaxAge = 15s;
    /// Enough to find repeated requests in an overload in which thousands of runs are lost.
    static constexpr size_t MaxRuns = 4096;

    std::map<model::TargetIncarnation, std::vector<LostRun>> byTarget_;
    std::deque<std::pair<Timestamp, model::TargetIncarnation>> expiryOrder_;
};

} // namespace saltvane::gateway
