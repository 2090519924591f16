/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/hostmodules.h"
#include "host/internal/outbox.h"

#include <optional>

namespace saltvane::host {

/// A planned stop: leaves the look-ups, hands the targets over, completes the requests in flight, then finishes. A
/// second request to stop, or the time limit, terminates the remaining requests.
class PlannedStop {
public:
    /// Both must outlive the object.
    PlannedStop(HostModules& modules, Outbox& outbox);
    void request(Timestamp now);
    void tick(Timestamp now);
    [[nodiscard]] bool isStopping() const { return startedAt_.has_value(); }
    [[nodiscard]] bool isFinished() const { return isFinished_; }

private:
    void start(Timestamp now);
    void finish(uint32_t requestsCut);
    [[nodiscard]] bool hasHandedOver() const;
    [[nodiscard]] bool hasZonePeer() const;
    [[nodiscard]] bool hasOutstandingCredits(Timestamp now) const;

    HostModules& modules_;
    Outbox& outbox_;
    std::optional<Timestamp> startedAt_;
    std::optional<Timestamp> idleSince_;
    bool isFinished_ = false;
};

} // namespace saltvane::host
