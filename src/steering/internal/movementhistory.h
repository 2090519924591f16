/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/bundle.h"

#include <array>
#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <cstdint>

namespace saltvane::steering {

/// Which cap of the bundle applies to a movement.
enum class CapKind { Shift, Failover, Count };

/// Recent movement between zones for one service at this host: movement of route rows, and diverted requests as a
/// fraction of the offered requests. Retained when the bundle changes, so that a change never grants a second
/// allowance.
///
/// Time is divided into buckets. The movement of a bucket counts while any part of the bucket lies in the closed window
/// that ends now; its offered requests count only while the whole bucket does. Both roundings err below the cap.
class MovementHistory {
public:
    /// Sets the caps. `failover` equals the shift cap if the bundle has no failover cap.
    void setCaps(const model::ShiftCap& shift, const model::ShiftCap& failover, Timestamp now);

    void recordRequest(Timestamp now)
    {
        if (buckets_.empty() || now >= buckets_.back().end)
            openBucket(now);
        ++buckets_.back().requests;
        for (auto& window : windows_)
            ++window.requests;
    }
    void recordDiversion(Timestamp now);
    /// Records that route rows moved `share` of the traffic.
    void recordRowMovement(double share, Timestamp now);
    /// Assumes that the past windows were fully spent at a constant rate. A restarted host must assume this, since it
    /// does not know what moved.
    void assumeFullySpent(Timestamp now);

    /// Share of the traffic that may still move now.
    [[nodiscard]] double remainingAllowance(CapKind kind, Timestamp now);
    /// True if one more request may be diverted: within the cap, and diversions alone within `maxFraction` of it.
    [[nodiscard]] bool mayDivert(CapKind kind, double maxFraction, Timestamp now);
    /// Time until the oldest movement leaves the window; used as retry-after of a refusal by the cap.
    [[nodiscard]] Duration timeToNextExpiry(CapKind kind, Timestamp now);
    /// True if no movement is left that any window could count.
    [[nodiscard]] bool isEmpty(Timestamp now) const;

private:
    static constexpr size_t KindCount = static_cast<size_t>(CapKind::Count);

    struct Bucket {
        Timestamp start;
        Timestamp end;
        std::array<int64_t, KindCount> moved {}; ///< In MovementUnit.
        uint32_t requests = 0;
        uint32_t diversions = 0;
    };

    /// Running sums of the buckets from index `first` on.
    struct Window {
        model::ShiftCap cap;
        size_t first = 0;
        int64_t moved = 0;
        uint64_t requests = 0;
        uint64_t diversions = 0;
    };

    void openBucket(Timestamp now);
    void appendBucket(Timestamp start, Timestamp end);
    void expireBuckets(Window& window, Timestamp now) const;
    void recomputeSums(CapKind kind, Timestamp now);
    [[nodiscard]] double divertedShare(const Window& window, uint64_t diversions, Timestamp now) const;
    Bucket& currentBucket(Timestamp now);
    Window& window(CapKind kind) { return windows_[static_cast<size_t>(kind)]; }

    boost::circular_buffer<Bucket> buckets_;
    std::array<Window, KindCount> windows_;
    Duration bucketLength_ = 50ms;
    Duration retention_ {};
};

} // namespace saltvane::steering
