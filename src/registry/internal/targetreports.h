/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "base/result.h"
#include "model/targetmessages.h"

#include <cstddef>
#include <string_view>

/// What targets say of themselves (docs/ROUTES.md), read strictly: anybody may send a report, and one that doesn't fit
/// whole names no target.
namespace saltvane::registry {

/// Bytes of a report. Targets' reports have some 200.
inline constexpr size_t LargestTargetReport = 16 * 1024;

[[nodiscard]] Result<model::TargetRecord, Findings> readTargetHeartbeat(const TargetId& target, std::string_view body);
/// The start that leaves; 0 where the body is empty or doesn't tell.
[[nodiscard]] Result<Incarnation, Findings> readTargetLeave(const TargetId& target, std::string_view body);

} // namespace saltvane::registry
