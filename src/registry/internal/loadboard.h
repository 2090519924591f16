/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/targetmessages.h"

#include <map>

namespace saltvane::registry {

/// What each gateway has in flight on each target, as it last told, and the sum over all gateways.
class LoadBoard {
public:
    void note(const HostId& gateway, const model::TargetLoads& loads, Timestamp now);
    /// Of gateways heard of lately; ordered by target.
    [[nodiscard]] model::TargetLoads sum(Timestamp now);

private:
    struct Entry {
        model::TargetLoads loads;
        Timestamp heardAt;
    };
    std::map<HostId, Entry> gateways_;
};

} // namespace saltvane::registry
