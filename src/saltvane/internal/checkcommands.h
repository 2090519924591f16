/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "saltvane/internal/arguments.h"

namespace saltvane::cli {

// Commands that need no host; each returns the exit code.
int checkHosts(const Arguments& arguments);
int checkBundles(const Arguments& arguments);
/// Writes a new secret key to a file (mode 0600; an existing file is never overwritten) and prints the public key to
/// list in a bundle.
int newKey(const Arguments& arguments);

} // namespace saltvane::cli
