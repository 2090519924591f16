/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/deployment.h"

namespace saltvane::requests {

/// Deadline for a forwarded request. It is shorter than the remaining time by the delay of the reply, so that a request
/// that the peer did not run is reported as "not run" before this host has to report it as unknown. `peer` is empty if
/// its zone is unknown.
[[nodiscard]] Duration peerDeadline(
    const model::Deployment& deployment, const ZoneName& self, const ZoneName& peer, Duration remaining);

} // namespace saltvane::requests
