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

/// The host's metrics in the Prometheus text format (docs/METRICS.md). Adapters count apart from the core.
[[nodiscard]] std::string metricsText(const model::Counters& core, const model::Counters& adapters,
    const host::HostStatus& status, std::span<const model::StageLatency> latencies);

} // namespace saltvane::saltvaned
