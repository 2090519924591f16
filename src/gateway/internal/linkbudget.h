/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/routeplan.h"

#include <map>

namespace saltvane::gateway {

/// What large answers take of this host's network link. They are few but fill it, and everything else waits behind
/// them: so no more of them are taken on than the link carries in a part of their objective.
class LinkBudget {
public:
    /// 0: the link's rate is not known, and nothing is limited.
    explicit LinkBudget(double megabits);

    /// Whether one more large answer can be carried in time.
    [[nodiscard]] bool hasRoomFor(const model::Route& route) const;
    void noteStarted() { ++inFlight_; }
    /// `bytes`: of the whole answer; 0 where none came.
    void noteEnded(uint64_t bytes);

private:
    double bytesPerSecond_;
    uint32_t inFlight_ = 0;
    double usualBytes_;
};

} // namespace saltvane::gateway
