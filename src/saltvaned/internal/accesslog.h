/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/exchangetypes.h"

namespace saltvane::saltvaned {

/// Writes the access log line of a completed request or, on the owner side, a completed dispatch (docs/LOGS.md).
void logAccess(const requests::AccessRecord& record);

} // namespace saltvane::saltvaned
