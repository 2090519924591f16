/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/loadtable.h"

#include <algorithm>

namespace saltvane::registry {

namespace {

/// Three report intervals (1.2 s) of a gateway in another region. A disconnected gateway's requests no longer count.
constexpr Duration LoadReportTimeout = 3600ms;

/// Whether the new sum could change a gateway's choice: one request more or less matters only to a target with few in
/// flight. Sending all sums each time would cost 12 bytes per target every 300 ms: a sixth of a link of 2.6 Mbit/s with
/// 1,356 targets.
bool isSignificantChange(uint32_t sum, uint32_t published)
{
    const uint32_t difference = sum > published ? sum - published : published - sum;
    return difference > published / 4;
}

} // namespace

void LoadTable::apply(const model::TargetLoads& loads, bool isAdded)
{
    for (size_t i = 0; i < loads.targets.size(); ++i) {
        Sum& sum = sums_[loads.targets[i]];
        if (isAdded)
            sum.inFlight += loads.inFlight[i];
        else
            sum.inFlight -= std::min(sum.inFlight, loads.inFlight[i]);
        if (!sum.isDirty)
            dirtyTargets_.push_back(loads.targets[i]);
        sum.isDirty = true;
    }
}

void LoadTable::record(const HostId& gateway, const model::TargetLoads& loads, Timestamp now)
{
    const auto [found, isNew] = gateways_.try_emplace(gateway);
    if (!isNew)
        apply(found->second.loads, false);
    apply(loads, true);
    found->second = {.loads = loads, .receivedAt = now};
    arrivals_.emplace_back(now, gateway);
}

void LoadTable::expire(Timestamp now)
{
    for (; !arrivals_.empty() && now - arrivals_.front().first > LoadReportTimeout; arrivals_.pop_front()) {
        const auto found = gateways_.find(arrivals_.front().second);
        if (found == gateways_.end() || found->second.receivedAt != arrivals_.front().first)
            continue; // It has sent a newer report.
        apply(found->second.loads, false);
        gateways_.erase(found);
    }
}

model::TargetLoads LoadTable::drainChanges()
{
    model::TargetLoads changes {.isChange = true};
    for (const uint64_t target : dirtyTargets_) {
        Sum& sum = sums_[target];
        sum.isDirty = false;
        if (isSignificantChange(sum.inFlight, sum.published)) {
            sum.published = sum.inFlight;
            changes.targets.push_back(target);
            changes.inFlight.push_back(sum.published);
        }
        if (sum.inFlight == 0 && sum.published == 0)
            sums_.erase(target);
    }
    dirtyTargets_.clear();
    return changes;
}

model::TargetLoads LoadTable::published() const
{
    model::TargetLoads all;
    for (const auto& [target, sum] : sums_) {
        if (sum.published == 0)
            continue;
        all.targets.push_back(target);
        all.inFlight.push_back(sum.published);
    }
    return all;
}

} // namespace saltvane::registry
