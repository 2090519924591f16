/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "saltvane/internal/arguments.h"

namespace saltvane::cli {

// Commands that print the state of the running hosts; each returns the exit code.
int showStatus(const Arguments& arguments);
/// Prints the bundle version in force on each host. With --wait, polls until the requested version is in force on all
/// hosts or the timeout ends.
int bundleStatus(const Arguments& arguments);

} // namespace saltvane::cli
