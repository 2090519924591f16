/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace saltvane::membership {

/// Max-min fair division of `capacity`: no share exceeds its demand, and what one does not need goes to the others. The
/// remainder is assigned in single units, starting at index `firstForRemainder` and wrapping around.
[[nodiscard]] std::vector<uint32_t> fairShares(
    std::span<const uint32_t> wanted, uint32_t capacity, size_t firstForRemainder);

} // namespace saltvane::membership
