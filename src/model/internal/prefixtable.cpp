/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/internal/prefixtable.h"

#include <algorithm>
#include <optional>

namespace saltvane::model {
namespace {

constexpr uint32_t BucketBits = 16;
constexpr uint32_t BucketCount = 1U << BucketBits;
constexpr uint32_t BucketShift = 64 - BucketBits;

/// The next key; no value after the highest one.
std::optional<AddressKey> successor(const AddressKey& key)
{
    const AddressKey result {.high = key.low + 1 == 0 ? key.high + 1 : key.high, .low = key.low + 1};
    if (result == AddressKey {})
        return std::nullopt;
    return result;
}

/// The bits of an IPv4 key end with bit 32. Setting all later bits makes the successor of the last key the first key of
/// the next block.
AddressKey lastKeyOf(const AddressPrefix& prefix)
{
    AddressKey last = prefix.last();
    if (prefix.family == AddressFamily::Ipv4) {
        last.high |= 0xffffffffU;
        last.low = ~uint64_t {0};
    }
    return last;
}

} // namespace

PrefixTable::PrefixTable(AddressFamily family, std::span<const PrefixRegion> blocks, RegionIndex defaultRegion)
{
    std::vector<PrefixRegion> sorted;
    std::copy_if(blocks.begin(), blocks.end(), std::back_inserter(sorted),
        [family](const PrefixRegion& block) { return block.prefix.family == family; });
    std::stable_sort(sorted.begin(), sorted.end(),
        [](const PrefixRegion& left, const PrefixRegion& right) { return left.prefix < right.prefix; });
    addRange({}, defaultRegion);
    flatten(sorted);
    buildBuckets();
}

void PrefixTable::flatten(std::span<const PrefixRegion> sorted)
{
    std::vector<OpenBlock> open {{.last = {.high = ~uint64_t {0}, .low = ~uint64_t {0}}, .region = regions_.front()}};
    for (const PrefixRegion& block : sorted) {
        closeBlocksBefore(block.prefix.key, open);
        addRange(block.prefix.key, block.region);
        open.push_back({.last = lastKeyOf(block.prefix), .region = block.region});
    }
    closeBlocksBefore({.high = ~uint64_t {0}, .low = ~uint64_t {0}}, open);
}

void PrefixTable::closeBlocksBefore(const AddressKey& start, std::vector<OpenBlock>& open)
{
    while (open.size() > 1 && open.back().last < start) {
        const auto after = successor(open.back().last);
        open.pop_back();
        if (after)
            addRange(*after, open.back().region);
    }
}

void PrefixTable::addRange(const AddressKey& start, RegionIndex region)
{
    if (!starts_.empty() && starts_.back() == start) {
        regions_.back() = region;
        return;
    }
    starts_.push_back(start);
    regions_.push_back(region);
}

void PrefixTable::buildBuckets()
{
    buckets_.reserve(BucketCount + 1);
    uint32_t range = 0;
    for (uint64_t bucket = 0; bucket < BucketCount; ++bucket) {
        const AddressKey first {.high = bucket << BucketShift, .low = 0};
        while (range + 1 < starts_.size() && starts_[range + 1] <= first)
            ++range;
        buckets_.push_back(range);
    }
    buckets_.push_back(static_cast<uint32_t>(starts_.size() - 1));
}

RegionIndex PrefixTable::find(const AddressKey& key) const
{
    const uint64_t bucket = key.high >> BucketShift;
    const auto begin = starts_.begin() + buckets_[bucket];
    const auto end = starts_.begin() + buckets_[bucket + 1] + 1;
    const auto after = std::upper_bound(begin, end, key);
    return regions_[static_cast<size_t>(after - starts_.begin()) - 1];
}

} // namespace saltvane::model
