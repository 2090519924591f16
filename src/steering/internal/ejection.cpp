/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/ejection.h"

#include <algorithm>

namespace saltvane::steering {

namespace {

constexpr Duration MaxEjectionTime = 60s;
constexpr uint32_t MaxDoublings = 16;

} // namespace

bool Ejection::recordFailure(uint32_t failuresToEject)
{
    consecutiveAnswers_ = 0;
    ++consecutiveFailures_;
    return consecutiveFailures_ >= failuresToEject;
}

void Ejection::recordAnswer(uint32_t failuresToEject)
{
    consecutiveFailures_ = 0;
    ++consecutiveAnswers_;
    if (consecutiveAnswers_ >= failuresToEject)
        consecutiveEjections_ = 0;
}

void Ejection::eject(Duration base, Timestamp now)
{
    const auto doublings = std::min(consecutiveEjections_, MaxDoublings);
    ejectedUntil_ = now + std::min(base * (int64_t {1} << doublings), std::max(base, MaxEjectionTime));
    isEjected_ = true;
    isTrialRunning_ = false;
    consecutiveFailures_ = 0;
    ++consecutiveEjections_;
}

void Ejection::restore()
{
    isEjected_ = false;
    isTrialRunning_ = false;
    consecutiveFailures_ = 0;
}

} // namespace saltvane::steering
