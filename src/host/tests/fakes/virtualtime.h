/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <cstdint>
#include <functional>
#include <map>

namespace saltvane::host::fakes {

/// Runs scheduled steps in the order of their times; steps with equal times run in the order in which they were
/// scheduled.
class VirtualTime {
public:
    using Step = std::function<void()>;

    [[nodiscard]] Timestamp now() const { return now_; }
    void at(Timestamp when, Step step);
    void after(Duration delay, Step step) { at(now_ + delay, std::move(step)); }
    void runUntil(Timestamp end);
    void runFor(Duration duration) { runUntil(now_ + duration); }
    /// Runs until the condition holds, checking it every `period`; false when it does not hold within `limit`.
    [[nodiscard]] bool runUntil(
        const std::function<bool()>& condition, Duration limit, Duration period = std::chrono::milliseconds(10));

private:
    struct Key {
        Timestamp when;
        uint64_t sequence = 0;
        auto operator<=>(const Key&) const = default;
    };
    Timestamp now_ {std::chrono::hours(1)};
    uint64_t sequence_ = 0;
    std::map<Key, Step> steps_;
};

} // namespace saltvane::host::fakes
