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

/// Strict parser of targets' reports (docs/ROUTES.md). Anybody may send a report: one with any invalid field is
/// rejected as a whole.
namespace saltvane::registry {

/// Reports of targets have about 200 bytes.
inline constexpr size_t MaxTargetReportBytes = 16 * 1024;

[[nodiscard]] Result<model::TargetRecord, Findings> readTargetHeartbeat(const TargetId& target, std::string_view body);
/// The incarnation that leaves; 0 where the body is empty or doesn't name it.
[[nodiscard]] Result<Incarnation, Findings> readTargetLeave(const TargetId& target, std::string_view body);

} // namespace saltvane::registry
