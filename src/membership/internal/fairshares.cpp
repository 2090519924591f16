/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/internal/fairshares.h"

#include <algorithm>

namespace saltvane::membership {

std::vector<uint32_t> fairShares(std::span<const uint32_t> wanted, uint32_t capacity, size_t firstForRemainder)
{
    std::vector<uint32_t> shares(wanted.size(), 0);
    uint32_t remaining = capacity;
    while (remaining > 0) {
        std::vector<size_t> unmet;
        for (size_t i = 0; i < wanted.size(); ++i) {
            const size_t index = (firstForRemainder + i) % wanted.size();
            if (shares[index] < wanted[index])
                unmet.push_back(index);
        }
        if (unmet.empty())
            return shares;
        const uint32_t each = std::max<uint32_t>(1, remaining / static_cast<uint32_t>(unmet.size()));
        for (const size_t index : unmet) {
            const uint32_t granted = std::min({each, wanted[index] - shares[index], remaining});
            shares[index] += granted;
            remaining -= granted;
        }
    }
    return shares;
}

} // namespace saltvane::membership
