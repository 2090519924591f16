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

    /// Bytes that crossed the link, either way; the busier way counts.
    void noteSent(uint64_t bytes) { sent_ += bytes; }
    void noteReceived(uint64_t bytes) { received_ += bytes; }
    /// Share of the link in use, lately; 0 where its rate is not known.
    [[nodiscard]] double use() const { return use_; }
    void tick(Timestamp now);

private:
    double bytesPerSecond_;
    uint32_t inFlight_ = 0;
    double usualBytes_;
    uint64_t sent_ = 0;
    uint64_t received_ = 0;
    double use_ = 0;
    Timestamp measuredAt_ {};
};

} // namespace saltvane::gateway
