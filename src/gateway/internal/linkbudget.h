/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/routeplan.h"

#include <map>

namespace saltvane::gateway {

/// Bounds the large responses in progress by the bandwidth of this host's network link. They are few but fill the link
/// and delay everything else, so no more are accepted than the link can carry in a fraction of their objective.
class LinkBudget {
public:
    /// 0: the link's rate is unknown and nothing is limited.
    explicit LinkBudget(double megabits);

    /// Whether the link can carry one more large response in time.
    [[nodiscard]] bool canCarry(const model::Route& route) const;
    void recordStart() { ++inFlight_; }
    /// `bytes`: size of the whole response; 0 if none was received.
    void recordCompletion(uint64_t bytes);

private:
    double bytesPerSecond_;
    uint32_t inFlight_ = 0;
    double averageBytes_;
};

} // namespace saltvane::gateway
