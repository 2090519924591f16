/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/bundleparts.h"

#include "control/internal/contentcodec.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace saltvane::control {

namespace {

/// Fetching a plan of 3.5 MiB over 4 Mbit/s takes 7 s; one that hosts fetch is asked for all the time, so it stays
/// among so many however fast changes come.
constexpr size_t MostKept = 4;

} // namespace

void BundleParts::setInForce(const IBundleHolder::InForce& state) { last_ = std::exchange(inForce_, state); }

const BundleParts::Kept* BundleParts::find(const LogPosition& position, const LogPosition& base)
{
    const auto found
        = std::ranges::find_if(kept_, [&](const Kept& kept) { return kept.position == position && kept.base == base; });
    if (found == kept_.end())
        return nullptr;
    std::rotate(found, found + 1, kept_.end());
    return &kept_.back();
}

const BundleParts::Kept& BundleParts::compressedFor(const LogPosition& held)
{
    const bool hasBase = held != LogPosition {} && held == last_.position;
    const LogPosition base = hasBase ? held : LogPosition {};
    if (const Kept* kept = find(inForce_.position, base))
        return *kept;
    std::string bytes
        = compressContent(*inForce_.content, hasBase ? std::string_view(*last_.content) : std::string_view());
    const uint64_t checksum = XXH64(bytes.data(), bytes.size(), 0);
    if (kept_.size() >= MostKept)
        kept_.pop_front();
    return kept_.emplace_back(Kept {.position = inForce_.position,
        .version = inForce_.version,
        .base = base,
        .bytes = std::move(bytes),
        .checksum = checksum});
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
        .pull = answer.pull,
        .base = kept.base};
}

model::Message BundleParts::first(const LogPosition& held, const Answer& answer)
{
    if (inForce_.content->size() > PartBytes)
        return partOf(compressedFor(held), 0, answer);
    return model::BundlePush {.position = inForce_.position,
        .version = inForce_.version,
        .content = *inForce_.content,
        .age = answer.age,
        .pull = answer.pull};
}

std::optional<model::Message> BundleParts::next(const model::BundlePull& pull, const Answer& answer)
{
    const Kept* kept = find(pull.partOf, pull.partBase);
    if (kept == nullptr || pull.offset >= kept->bytes.size())
        return std::nullopt;
    return partOf(*kept, pull.offset, answer);
}

} // namespace saltvane::control
