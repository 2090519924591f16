/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "base/ids.h"
#include "base/result.h"
#include "base/timetypes.h"
#include "model/hostmessages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace saltvane::standin {

/// A stand-in target as listed in deployments/<name>/targets.yaml.
struct TargetSpec {
    TargetId target;
    ServiceName service;
    ZoneName zone;
    model::Address address;
    uint32_t slots = 0;
    uint32_t connections = 0;
    Duration serviceTime {};
};

[[nodiscard]] Result<std::vector<TargetSpec>, Findings> loadTargetList(const std::string& path);

} // namespace saltvane::standin
