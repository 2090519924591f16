/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/loadboard.h"

namespace saltvane::registry {

namespace {

/// Three reports of a gateway of another region, which come each 1.2 s: requests of one that is gone end with it.
constexpr Duration Memory = 3600ms;

} // namespace

void LoadBoard::note(const HostId& gateway, const model::TargetLoads& loads, Timestamp now)
{
    gateways_.insert_or_assign(gateway, Entry {.loads = loads, .heardAt = now});
}

model::TargetLoads LoadBoard::sum(Timestamp now)
{
    std::erase_if(gateways_, [&](const auto& item) { return now - item.second.heardAt > Memory; });
    std::map<uint64_t, uint32_t> sums;
    for (const auto& [gateway, entry] : gateways_) {
        for (size_t i = 0; i < entry.loads.targets.size(); ++i)
            sums[entry.loads.targets[i]] += entry.loads.inFlight[i];
    }
    model::TargetLoads all;
    for (const auto& [target, inFlight] : sums) {
        all.targets.push_back(target);
        all.inFlight.push_back(inFlight);
    }
    return all;
}

} // namespace saltvane::registry
