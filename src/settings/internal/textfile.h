/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "base/result.h"

#include <string>

namespace saltvane::settings {

/// Reads a complete file, which must be small enough for memory.
[[nodiscard]] Result<std::string, IoError> readTextFile(const std::string& path);
/// The finding for a file that cannot be read.
[[nodiscard]] Findings fileFinding(const IoError& error);

} // namespace saltvane::settings
