/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/controltypes.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace saltvane::control {

[[nodiscard]] nlohmann::json replicasToJson(const std::vector<ReplicaInfo>& replicas);
/// No value if a field is missing or of another type, or a replica is listed twice.
[[nodiscard]] std::optional<std::vector<ReplicaInfo>> replicasFromJson(const nlohmann::json& array);

} // namespace saltvane::control
