/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"

#include <unordered_map>

namespace saltvane::host {

/// Tracks the newest incarnation seen of each peer, to detect restarts and messages of earlier incarnations.
class IncarnationTracker {
public:
    enum class Verdict {
        Known, ///< The first one seen, or the same as before.
        Restarted, ///< Newer than the one before, which no longer runs.
        Stale ///< Older than the newest one: its messages are void.
    };
    Verdict record(const HostId& host, Incarnation incarnation);

private:
    std::unordered_map<HostId, Incarnation> newest_;
};

} // namespace saltvane::host
