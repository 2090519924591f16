/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <cstdint>

namespace saltvane::steering {

/// Concurrency limit of one target. Starts small, grows with answers in time and shrinks when the target sheds or fails
/// requests.
class SlowStart {
public:
    /// `limit` is the initial limit; `largest` is the target's number of slots.
    SlowStart(uint32_t limit, uint32_t maxLimit);

    void setMaxLimit(uint32_t maxLimit);
    /// Records an answer that came while `inFlight` requests ran, itself included. Grows the limit only if it is in
    /// use.
    void recordAnswer(bool isInTime, uint32_t inFlight);
    void recordShed(uint32_t inFlight);
    void recordFailure();
    [[nodiscard]] uint32_t limit() const { return static_cast<uint32_t>(limit_); }
    [[nodiscard]] bool isWarm() const { return limit() >= maxLimit_; }

private:
    void grow(double amount);
    void shrinkTo(double limit);

    double limit_;
    uint32_t maxLimit_;
};

} // namespace saltvane::steering
