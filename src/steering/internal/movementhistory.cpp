/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/movementhistory.h"

#include <algorithm>
#include <cmath>

namespace saltvane::steering {

namespace {

/// Movement is summed in integer units, so that running sums stay exact.
constexpr double MovementUnit = 1e-12;
constexpr int BucketsPerWindow = 200;
constexpr Duration MinBucketLength = 10ms;
constexpr Duration MaxBucketLength = 50ms;
/// Minimum, so that a bundle with a longer window still finds the movement before it.
constexpr Duration MinRetention = 2min;
/// Arrivals fluctuate: the requests of the next window are estimated this many standard deviations lower.
constexpr double ArrivalStandardDeviations = 4;

int64_t toUnits(double share) { return static_cast<int64_t>(std::ceil(share / MovementUnit)); }

double minOfferedRequests(double requests) { return requests - ArrivalStandardDeviations * std::sqrt(requests); }

} // namespace

void MovementHistory::setCaps(const model::ShiftCap& shift, const model::ShiftCap& failover, Timestamp now)
{
    window(CapKind::Shift).cap = shift;
    window(CapKind::Failover).cap = failover;
    const auto shortest = std::min(shift.window, failover.window);
    const auto longest = std::max(shift.window, failover.window);
    bucketLength_ = std::clamp(shortest / BucketsPerWindow, MinBucketLength, MaxBucketLength);
    retention_ = std::max({retention_, MinRetention, 2 * longest});
    const auto capacity = static_cast<size_t>(retention_ / bucketLength_) + 2;
    if (capacity > buckets_.capacity())
        buckets_.set_capacity(capacity);
    recomputeSums(CapKind::Shift, now);
    recomputeSums(CapKind::Failover, now);
}

void MovementHistory::recordDiversion(Timestamp now)
{
    ++currentBucket(now).diversions;
    for (auto& window : windows_)
        ++window.diversions;
}

void MovementHistory::recordRowMovement(double share, Timestamp now)
{
    const auto units = toUnits(share);
    auto& bucket = currentBucket(now);
    for (size_t kind = 0; kind < KindCount; ++kind) {
        bucket.moved[kind] += units;
        windows_[kind].moved += units;
    }
}

void MovementHistory::assumeFullySpent(Timestamp now)
{
    buckets_.clear();
    const auto longest = std::max(windows_[0].cap.window, windows_[1].cap.window);
    for (auto start = now - longest; start < now; start += bucketLength_) {
        appendBucket(start, std::min(start + bucketLength_, now));
        for (size_t kind = 0; kind < KindCount; ++kind) {
            const auto& cap = windows_[kind].cap;
            if (start < now - cap.window)
                continue;
            const double fraction = toSeconds(buckets_.back().end - start) / toSeconds(cap.window);
            buckets_.back().moved[kind] = toUnits(cap.share * fraction);
        }
    }
    recomputeSums(CapKind::Shift, now);
    recomputeSums(CapKind::Failover, now);
}

double MovementHistory::remainingAllowance(CapKind kind, Timestamp now)
{
    auto& sums = window(kind);
    expireBuckets(sums, now);
    const double moved = static_cast<double>(sums.moved) * MovementUnit;
    return std::max(0.0, sums.cap.share - moved - divertedShare(sums, sums.diversions, now));
}

bool MovementHistory::mayDivert(CapKind kind, double maxFraction, Timestamp now)
{
    auto& sums = window(kind);
    expireBuckets(sums, now);
    const double diverted = divertedShare(sums, sums.diversions + 1, now);
    const double moved = static_cast<double>(sums.moved) * MovementUnit;
    return diverted <= maxFraction * sums.cap.share && moved + diverted <= sums.cap.share;
}

Duration MovementHistory::timeToNextExpiry(CapKind kind, Timestamp now)
{
    auto& sums = window(kind);
    expireBuckets(sums, now);
    for (size_t index = sums.first; index < buckets_.size(); ++index) {
        const auto& bucket = buckets_[index];
        if (bucket.moved[static_cast<size_t>(kind)] > 0 || bucket.diversions > 0)
            return bucket.end + sums.cap.window - now;
    }
    return sums.cap.window;
}

bool MovementHistory::isEmpty(Timestamp now) const
{
    return buckets_.empty() || buckets_.back().end + retention_ < now;
}

void MovementHistory::openBucket(Timestamp now)
{
    for (auto& window : windows_)
        expireBuckets(window, now);
    appendBucket(now, now + bucketLength_);
}

void MovementHistory::appendBucket(Timestamp start, Timestamp end)
{
    if (buckets_.full()) {
        for (auto& window : windows_) {
            if (window.first > 0) {
                --window.first;
                continue;
            }
            const auto kind = static_cast<size_t>(&window - windows_.data());
            window.moved -= buckets_.front().moved[kind];
            window.requests -= buckets_.front().requests;
            window.diversions -= buckets_.front().diversions;
        }
    }
    buckets_.push_back({.start = start, .end = end});
}

void MovementHistory::expireBuckets(Window& window, Timestamp now) const
{
    const auto kind = static_cast<size_t>(&window - windows_.data());
    const auto windowStart = now - window.cap.window;
    while (window.first < buckets_.size() && buckets_[window.first].end <= windowStart) {
        const auto& bucket = buckets_[window.first];
        window.moved -= bucket.moved[kind];
        window.requests -= bucket.requests;
        window.diversions -= bucket.diversions;
        ++window.first;
    }
}

void MovementHistory::recomputeSums(CapKind kind, Timestamp now)
{
    auto& sums = window(kind);
    sums = {.cap = sums.cap};
    for (const auto& bucket : buckets_) {
        sums.moved += bucket.moved[static_cast<size_t>(kind)];
        sums.requests += bucket.requests;
        sums.diversions += bucket.diversions;
    }
    expireBuckets(sums, now);
}

double MovementHistory::divertedShare(const Window& window, uint64_t diversions, Timestamp now) const
{
    if (diversions == 0)
        return 0;
    auto requests = window.requests;
    if (window.first < buckets_.size() && buckets_[window.first].start < now - window.cap.window)
        requests -= buckets_[window.first].requests;
    // Limited to 1, because a cap of 1 allows every request to move.
    const double offered = minOfferedRequests(static_cast<double>(requests));
    if (offered <= static_cast<double>(diversions))
        return 1;
    return static_cast<double>(diversions) / offered;
}

MovementHistory::Bucket& MovementHistory::currentBucket(Timestamp now)
{
    if (buckets_.empty() || now >= buckets_.back().end)
        openBucket(now);
    return buckets_.back();
}

} // namespace saltvane::steering
