/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/incarnationtracker.h"

namespace saltvane::host {

IncarnationTracker::Verdict IncarnationTracker::record(const HostId& host, Incarnation incarnation)
{
    const auto [entry, isNew] = newest_.try_emplace(host, incarnation);
    if (isNew || entry->second == incarnation)
        return Verdict::Known;
    if (incarnation < entry->second)
        return Verdict::Stale;
    entry->second = incarnation;
    return Verdict::Restarted;
}

} // namespace saltvane::host
