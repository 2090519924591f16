/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "saltvane/internal/arguments.h"

namespace saltvane::cli {

// Commands to propose, approve, revert and list bundles; each returns the exit code.
int proposeBundle(const Arguments& arguments);
int approveBundle(const Arguments& arguments);
int revertBundle(const Arguments& arguments);
int listBundles(const Arguments& arguments);
int showBundle(const Arguments& arguments);

} // namespace saltvane::cli
