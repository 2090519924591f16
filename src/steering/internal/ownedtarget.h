/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/internal/ejection.h"
#include "steering/internal/slowstart.h"
#include "steering/itargetpool.h"

#include <vector>

namespace saltvane::steering {

/// One target this host owns: its last announcement and the state derived from this host's own requests to it.
class OwnedTarget {
public:
    OwnedTarget(const PoolTarget& announced, const TargetPoolOptions& options);

    /// Applies an announcement; returns false if it is of an older incarnation.
    [[nodiscard]] bool update(const PoolTarget& announced);
    void retire() { isRetired_ = true; }

    /// Slots that own requests may use now, those in use included; 0 if the target accepts no new work.
    [[nodiscard]] uint32_t usableSlots(Timestamp now) const;
    /// Own requests in flight, including those on older incarnations.
    [[nodiscard]] uint32_t inFlight() const;
    [[nodiscard]] bool hasFreeSlot(Timestamp now) const { return inFlight() < usableSlots(now); }
    [[nodiscard]] bool acceptsWork() const { return !isRetired_ && !announced_.isLeaving; }
    [[nodiscard]] bool isRetired() const { return isRetired_; }

    [[nodiscard]] ITargetPool::Slot acquire(Timestamp now);
    /// Releases a slot of the incarnation; returns false if none is in use.
    [[nodiscard]] bool release(Incarnation incarnation);
    /// Applies the result of a request on the current incarnation. `inFlightBeforeRelease` requests were in flight,
    /// itself included.
    void recordResult(
        DispatchResult result, Duration latency, bool isInTime, uint32_t inFlightBeforeRelease, Timestamp now);
    /// True if there were enough consecutive failures to eject the target.
    [[nodiscard]] bool needsEjection() const { return needsEjection_; }
    void eject(Timestamp now);
    [[nodiscard]] const PoolTarget& announced() const { return announced_; }
    [[nodiscard]] const Ejection& ejection() const { return ejection_; }
    [[nodiscard]] const SlowStart& slowStart() const { return slowStart_; }
    /// Smoothed latency of the answers; zero before the first.
    [[nodiscard]] Duration latency() const { return latency_; }
    [[nodiscard]] PoolTargetStatus status() const;

private:
    /// Own requests in flight on one incarnation.
    struct IncarnationLoad {
        Incarnation incarnation;
        uint32_t inFlight = 0;
    };

    void startCold();
    void recordAnswer(Duration latency, bool isInTime, uint32_t inFlightBeforeRelease);
    void recordShed(uint32_t inFlightBeforeRelease, Timestamp now);
    void recordFailure(Timestamp now);
    IncarnationLoad& load(Incarnation incarnation);

    const TargetPoolOptions& options_;
    PoolTarget announced_;
    SlowStart slowStart_;
    Ejection ejection_;
    std::vector<IncarnationLoad> loads_;
    Duration latency_ {};
    bool isRetired_ = false;
    bool needsEjection_ = false;
    bool hasShedRecently_ = false; ///< The last own request was shed: a report that the target is full is trusted.
    Timestamp lastShed_;
};

} // namespace saltvane::steering
