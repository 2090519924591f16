/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "base/timetypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace saltvane::cli {

/// Options and operands that the commands share; each command checks those that it needs.
struct Arguments {
    std::vector<std::string> operands;
    std::vector<std::string> servers; ///< Entry addresses of hosts, as "ip:port".
    std::string operatorName;
    std::string keyPath;
    uint64_t toVersion = 0; ///< Of --to; 0: not given.
    Duration timeout = 30s; ///< Longest wait of --wait.
    Duration timeLimit {}; ///< Of --limit; 0: not given.
    bool isJson = false;
    bool isWaiting = false;
    bool isWatching = false;
};

/// Parses the arguments after the command's name. The error is the exit code.
[[nodiscard]] Result<Arguments, int> parseArguments(const std::string& command, std::vector<std::string> args);

} // namespace saltvane::cli
