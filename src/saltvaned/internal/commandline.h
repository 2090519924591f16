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
inline constexpr int ExitFailure = 1; ///< Something outside failed: a port, the data folder, the stop's time limit.
inline constexpr int ExitUsage = 2; ///< Wrong arguments or settings with findings.

/// Environment variable that names the settings file where the arguments don't.
inline constexpr const char* SettingsVariable = "SALTVANE_CONFIG";

struct CommandLine {
    std::string settingsPath;
    bool isCheckOnly = false;
};

/// Reads the arguments. The error is the exit code: 0 after --help and --version.
[[nodiscard]] Result<CommandLine, int> parseCommandLine(int argc, char** argv, const std::string& version);

} // namespace saltvane::saltvaned
