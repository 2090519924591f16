/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/bodybudget.h"

namespace saltvane::gateway {

namespace {

/// Part of the host's memory that bodies may use: 128 MB of 256. The rest is for links, connections and the process
/// itself.
constexpr uint64_t HostMemoryDivisor = 2;
/// Part of the budget that is reserved for small bodies: 16 MB of 128.
constexpr uint64_t SmallBodyDivisor = 8;

} // namespace

BodyBudget::BodyBudget(uint64_t hostMemoryBytes)
    : total_(hostMemoryBytes / HostMemoryDivisor)
    , reserved_(total_ / SmallBodyDivisor)
    , memory_(new BlockMemory)
{
}

} // namespace saltvane::gateway
