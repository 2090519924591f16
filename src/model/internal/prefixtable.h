/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "model/internal/addressprefix.h"

#include <span>
#include <vector>

namespace saltvane::model {

/// An address block and its region.
struct PrefixRegion {
    AddressPrefix prefix;
    RegionIndex region;
};

/// Longest-prefix match over the blocks of one address family.
/// The constructor flattens nested blocks into disjoint ranges, so that a look-up is one binary search among the ranges
/// that share the first bits of the address.
class PrefixTable {
public:
    /// Uses only the blocks of `family`; addresses outside all of them map to `defaultRegion`.
    PrefixTable(AddressFamily family, std::span<const PrefixRegion> blocks, RegionIndex defaultRegion);

    [[nodiscard]] RegionIndex find(const AddressKey& key) const;

private:
    /// A block whose end is not reached yet while flattening.
    struct OpenBlock {
        AddressKey last;
        RegionIndex region;
    };

    void flatten(std::span<const PrefixRegion> sorted);
    void closeBlocksBefore(const AddressKey& start, std::vector<OpenBlock>& open);
    void addRange(const AddressKey& start, RegionIndex region);
    void buildBuckets();

    std::vector<AddressKey> starts_; ///< First key of each range, ascending; the first is 0.
    std::vector<RegionIndex> regions_; ///< Parallel to starts_.
    /// By the first bits of a key: index of the range that contains the bucket's first key.
    std::vector<uint32_t> buckets_;
};

} // namespace saltvane::model
