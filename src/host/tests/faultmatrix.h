/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/tests/servingdeployment.h"

#include <span>
#include <string_view>

namespace saltvane::host {

/// Duration of a fault; afterwards the machine is restarted or the cut is healed.
inline constexpr Duration FaultDuration = 4s;

/// A failure that is repaired after FaultDuration.
struct Fault {
    std::string_view name;
    void (*inject)(ServingDeployment& serving);
};

/// The operation that is in progress when the fault is injected.
struct Step {
    std::string_view name;
    void (*begin)(ServingDeployment& serving);
};

/// Rows and columns of docs/FAULT-MATRIX.md, in its order.
[[nodiscard]] std::span<const Fault> faults();
[[nodiscard]] std::span<const Step> steps();

} // namespace saltvane::host
