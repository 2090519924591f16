/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"

#include <string>

namespace saltvane::saltvaned {

// Exit codes (docs/OPERATORS.md).
inline constexpr int ExitOk = 0;
inline constexpr int ExitFailure = 1; ///< Failed to open a port or the data folder, or the stop timed out.
inline constexpr int ExitUsage = 2; ///< Invalid arguments, or settings with findings.

/// Environment variable with the path of the settings file, used if the arguments name none.
inline constexpr const char* SettingsVariable = "SALTVANE_CONFIG";

struct CommandLine {
    std::string settingsPath;
    bool isCheckOnly = false;
};

/// Parses the arguments. The error is the exit code of the process: 0 after --help and --version.
[[nodiscard]] Result<CommandLine, int> parseCommandLine(int argc, char** argv, const std::string& version);

} // namespace saltvane::saltvaned
