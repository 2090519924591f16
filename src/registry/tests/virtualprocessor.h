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

/// A host's part of a core, in virtual time: its work takes what it took of this thread's processor time, divided by
/// the part. Meanwhile the host does nothing else.
class VirtualProcessor {
public:
    /// `share`: of a core; 0: work takes no time.
    explicit VirtualProcessor(double share = 0)
        : share_(share)
    {
    }

    /// Beyond the present step of virtual time.
    [[nodiscard]] bool isBusy(Timestamp now) const { return now + Step <= busyUntil_; }
    /// The longest time that it was busy without a pause.
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
