/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <algorithm>
#include <ctime>
#include <functional>

namespace saltvane::registry::test {

/// A host's share of a core, in virtual time: a task takes the processor time that it took of this thread, divided by
/// the share. The host does nothing else during a task.
class VirtualProcessor {
public:
    /// `share`: fraction of a core; 0: tasks take no time.
    explicit VirtualProcessor(double share = 0)
        : share_(share)
    {
    }

    /// Whether it is busy beyond the present step of virtual time.
    [[nodiscard]] bool isBusy(Timestamp now) const { return now + Step <= busyUntil_; }
    /// The longest continuous busy period.
    [[nodiscard]] Duration longestBusy() const { return longestBusy_; }
    void work(Timestamp now, const std::function<void()>& task)
    {
        if (share_ <= 0)
            return task();
        const Duration before = threadTime();
        task();
        if (!isBusy(now))
            busySince_ = now;
        busyUntil_ = std::max(busyUntil_, now) + fromSeconds(toSeconds(threadTime() - before) / share_);
        longestBusy_ = std::max(longestBusy_, busyUntil_ - busySince_);
    }

private:
    static constexpr Duration Step = 10ms;

    static Duration threadTime()
    {
        timespec time {};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    double share_;
    Timestamp busyUntil_ {};
    Timestamp busySince_ {};
    Duration longestBusy_ {};
};

} // namespace saltvane::registry::test
