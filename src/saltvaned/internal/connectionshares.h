/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <cstdint>

namespace saltvane::saltvaned {

/// What the connections of callers may use of a process, and which of its addresses share it. docs/SETTINGS.md
struct ConnectionResources {
    uint64_t descriptors = 0; ///< That the process may have open (RLIMIT_NOFILE).
    uint64_t memoryBytes = 0; ///< Memory limit of the host.
    uint64_t headerBytes = 0; ///< Longest request head.
    uint32_t limit = 0; ///< Limits::connections of the settings.
    uint32_t callerWeights = 1; ///< Sum over the addresses of callers and targets.
    uint32_t operatorAddresses = 0;
};

/// Limits::connections of an address of callers or targets.
[[nodiscard]] uint32_t callerConnections(const ConnectionResources& resources, uint32_t weight);
/// The same of an address of operators.
[[nodiscard]] uint32_t operatorConnections(const ConnectionResources& resources);
/// Descriptors that this process may have open.
[[nodiscard]] uint64_t descriptorLimit();

} // namespace saltvane::saltvaned
