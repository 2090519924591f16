/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <string>
#include <vector>

namespace saltvane::cli {

/// Runs the command that the arguments begin with. Returns the exit code.
[[nodiscard]] int runCommandLine(std::vector<std::string> args, const std::string& version);

} // namespace saltvane::cli
