/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"

namespace saltvane::control {

[[nodiscard]] constexpr LogIndex indexAfter(LogIndex index) { return LogIndex {index.value + 1}; }
[[nodiscard]] constexpr LogIndex indexBefore(LogIndex index) { return LogIndex {index.value - 1}; }

} // namespace saltvane::control
