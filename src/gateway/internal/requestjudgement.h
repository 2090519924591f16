/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/clientaccount.h"
#include "model/routeplan.h"

#include <cstdint>

namespace saltvane::gateway {

/// Digest of all that a plan says of a request: its route, without name and path, and its client account, without keys.
/// Two plans with the same digest handle the request alike. `account`: null if the route requires none.
[[nodiscard]] uint64_t judgementOf(const model::Route& route, const model::ClientAccount* account);

} // namespace saltvane::gateway
