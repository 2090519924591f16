/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/reasons.h"

namespace saltvane::requests {

/// True if an attempt with this result may be retried. Work that was not run may be retried if another owner or target
/// may accept it; work that may have run only if it is repeatable and the peer or the target caused the failure.
[[nodiscard]] bool isRetryAllowed(model::Outcome outcome, model::Reason reason, bool isRepeatable);

} // namespace saltvane::requests
