/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "saltvane/internal/controlclient.h"

namespace saltvane::cli {

/// Prints the error to standard error. Returns its exit code.
int reportError(const ClientError& error);

} // namespace saltvane::cli
