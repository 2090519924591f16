/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/demandmeter.h"

#include <cmath>

namespace saltvane::steering {

double DemandMeter::decayFactor(Duration elapsed) { return std::exp(-toSeconds(elapsed) / toSeconds(TimeConstant)); }

} // namespace saltvane::steering
