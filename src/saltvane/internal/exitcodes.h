/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

namespace saltvane::cli {

// Exit codes (docs/OPERATORS.md).
inline constexpr int ExitOk = 0;
/// A control host refused the request (conflict, invalid signature, not found), or the rollout was rolled back.
inline constexpr int ExitRefused = 1;
inline constexpr int ExitUsage = 2; ///< Invalid arguments, or a file with findings.
inline constexpr int ExitNoControl = 3; ///< No control host with proof of being current responded.
inline constexpr int ExitTimedOut
    = 4; ///< --wait ended before the bundle was in force everywhere or the rollout had ended.

} // namespace saltvane::cli
