/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/hosttypes.h"
#include "model/counters.h"
#include "model/latency.h"

#include <span>
#include <string>

namespace saltvane::saltvaned {

struct MetricsInput {
    const model::Counters& core;
    const model::Counters& adapters; ///< Counted by the adapters; the core doesn't include them.
    const host::HostStatus& status;
    std::span<const model::StageLatency> latencies;
    uint64_t linkBacklogBytes = 0; ///< Bytes not sent yet, over all links.
    uint64_t linkMemoryBytes = 0; ///< Size of the buffers of all links.
    uint64_t residentBytes = 0; ///< Resident memory of this process.
    Duration stallTime {}; ///< See StallMonitor::total().
};

/// Returns the host's metrics in the Prometheus text format (docs/METRICS.md).
[[nodiscard]] std::string metricsText(const MetricsInput& input);

} // namespace saltvane::saltvaned
