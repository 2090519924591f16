/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/targetmessages.h"

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace saltvane::registry {

/// The requests that each gateway last reported in flight on each target, and their sums over all gateways. A report
/// costs in proportion to the targets that it names.
class LoadTable {
public:
    void record(const HostId& gateway, const model::TargetLoads& loads, Timestamp now);
    /// Removes gateways whose last report is too old.
    void expire(Timestamp now);
    /// Sums that differ significantly from the published ones, which gateways use until they receive others. They count
    /// as published from now on.
    [[nodiscard]] model::TargetLoads drainChanges();
    /// All published sums, for a gateway that has received none.
    [[nodiscard]] model::TargetLoads published() const;

private:
    struct Entry {
        model::TargetLoads loads;
        Timestamp receivedAt;
    };
    struct Sum {
        uint32_t inFlight = 0;
        uint32_t published = 0;
        bool isDirty = false; ///< Since the last drainChanges().
    };
    /// Adds a gateway's report to the sums, or subtracts it.
    void apply(const model::TargetLoads& loads, bool isAdded);

    std::unordered_map<HostId, Entry> gateways_;
    std::unordered_map<uint64_t, Sum> sums_;
    std::vector<uint64_t> dirtyTargets_;
    std::deque<std::pair<Timestamp, HostId>> arrivals_; ///< Reports in the order received.
};

} // namespace saltvane::registry
