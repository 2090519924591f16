/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/hosttypes.h"
#include "host/internal/apitypes.h"
#include "model/counters.h"

namespace saltvane::host {

/// GET /healthz: 200 while the host serves requests, otherwise 503 with the host's state.
[[nodiscard]] ApiResponse answerHealth(const HostStatus& status);

/// GET /v1/status: the state of this host and its view of the others (docs/METRICS.md).
[[nodiscard]] ApiResponse answerStatus(const HostStatus& status, const model::Counters& counters);

} // namespace saltvane::host
