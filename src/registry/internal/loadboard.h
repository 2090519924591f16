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

/// What each gateway has in flight on each target, as it last told, and the sums over all gateways. A gateway's word
/// costs as much as it names targets.
class LoadBoard {
public:
    void note(const HostId& gateway, const model::TargetLoads& loads, Timestamp now);
    /// Forgets gateways that are not heard any more.
    void expire(Timestamp now);
    /// Sums that differ enough from what was told before, which is what the gateways go by until they hear another.
    [[nodiscard]] model::TargetLoads takeChanges();
    /// All sums as told, for a gateway that has heard of none.
    [[nodiscard]] model::TargetLoads told() const;

private:
    struct Entry {
        model::TargetLoads loads;
        Timestamp heardAt;
    };
    struct Sum {
        uint32_t inFlight = 0;
        uint32_t told = 0;
        bool isTouched = false; ///< Since the last takeChanges().
    };
    /// Adds to the sums what a gateway tells, or takes it off.
    void apply(const model::TargetLoads& loads, bool isAdded);

    std::unordered_map<HostId, Entry> gateways_;
    std::unordered_map<uint64_t, Sum> sums_;
    std::vector<uint64_t> touched_;
    std::deque<std::pair<Timestamp, HostId>> heard_; ///< Words in the order they came.
};

} // namespace saltvane::registry
