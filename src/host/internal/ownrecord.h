/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/hostmodules.h"

namespace saltvane::host {

/// This host's record for its next heartbeat; the host table fills in identity and sequence.
[[nodiscard]] model::HostRecord makeOwnRecord(const HostModules& modules, model::HostState state, Timestamp now);

/// True if this host is the control leader and holds a quorum's proof of it.
[[nodiscard]] bool isProvenLeader(const HostModules& modules, Timestamp now);

/// The control leader known to this host; empty where none is known.
[[nodiscard]] HostId knownControlLeader(const HostModules& modules, Timestamp now);

/// Requests of a service that the owner grants credits for: its usable slots plus the queue capacity that goes with
/// them.
[[nodiscard]] uint32_t creditCapacity(const steering::PoolRoom& room);

} // namespace saltvane::host
