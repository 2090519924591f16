/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/hostmodules.h"

#include <set>
#include <unordered_map>

namespace saltvane::host {

/// Synchronizes the target directory and the target pool: passes owned targets to the pool, and in-flight counts to the
/// directory for hand-overs.
class TargetSync {
public:
    /// `modules` must outlive the object.
    explicit TargetSync(HostModules& modules);
    /// To be called before each call of the directory that may hand a target over, so that the reported counts are
    /// exact.
    void reportUse();
    /// To be called after each call of the directory; true when a target changed.
    bool applyChanges(Timestamp now);

private:
    /// Maximum of this host's requests in flight on a target, in the current announcement interval and the previous
    /// one.
    struct Peak {
        uint32_t current = 0;
        uint32_t previous = 0;
    };
    void applyOwned(const membership::TargetChange& change, Timestamp now);
    [[nodiscard]] uint32_t busyElsewhere(const membership::TargetChange& change);

    HostModules& modules_;
    std::unordered_map<TargetId, Peak> peaks_;
    std::set<TargetId> busy_; ///< Targets with requests in flight at the last report.
};

} // namespace saltvane::host
