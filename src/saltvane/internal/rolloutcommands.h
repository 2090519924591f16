/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "saltvane/internal/arguments.h"

namespace saltvane::cli {

// Commands for rollouts of target versions; each returns the exit code. The servers are control addresses of registry
// hosts.
/// Orders a rollout. With --wait, follows it like rolloutStatus().
int startRollout(const Arguments& arguments);
/// Prints the state of a service's latest rollout. With --wait, polls until it has ended or the timeout ends.
int rolloutStatus(const Arguments& arguments);

} // namespace saltvane::cli
