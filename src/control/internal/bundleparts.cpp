/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/bundleparts.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace saltvane::control {

namespace {

/// Fetching a plan of 3.5 MiB over 4 Mbit/s takes 7 s; one that hosts fetch is asked for all the time, so it stays
/// among so many however fast changes come.
constexpr size_t MostKept = 4;

} // namespace

void BundleParts::add(const IBundleHolder::InForce& state)
{
    kept_.push_back({.position = state.position,
        .version = state.version,
        .bytes = state.content,
        .checksum = XXH64(state.content.data(), state.content.size(), 0)});
    if (kept_.size() > MostKept)
        kept_.pop_front();
}

const BundleParts::Kept* BundleParts::find(const LogPosition& position)
{
    const auto found = std::ranges::find(kept_, position, &Kept::position);
    if (found == kept_.end())
        return nullptr;
    std::rotate(found, found + 1, kept_.end());
    return &kept_.back();
}

model::BundlePart BundleParts::partOf(const Kept& kept, uint64_t offset, const Answer& answer)
{
    return {.position = kept.position,
        .version = kept.version,
        .totalSize = kept.bytes.size(),
        .offset = offset,
        .checksum = kept.checksum,
        .bytes = kept.bytes.substr(offset, PartBytes),
        .age = answer.age,
        .pull = answer.pull};
}

model::Message BundleParts::first(const LogPosition& position, const Answer& answer)
{
    const Kept& kept = *find(position);
    if (kept.bytes.size() > PartBytes)
        return partOf(kept, 0, answer);
    return model::BundlePush {.position = kept.position,
        .version = kept.version,
        .content = kept.bytes,
        .age = answer.age,
        .pull = answer.pull};
}

std::optional<model::Message> BundleParts::next(const LogPosition& position, uint64_t offset, const Answer& answer)
{
    const Kept* kept = find(position);
    if (kept == nullptr || offset >= kept->bytes.size())
        return std::nullopt;
    return partOf(*kept, offset, answer);
}

} // namespace saltvane::control
