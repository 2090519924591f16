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

/// A transfer of a 3.5 MiB plan over 4 Mbit/s takes 7 s. A state in transfer is requested continuously, so it stays
/// among the most recently requested ones, whatever the rate of changes.
constexpr size_t MaxCachedStates = 4;

} // namespace

void BundleParts::setInForce(const IBundleReplica::InForce& state) { previous_ = std::exchange(inForce_, state); }

const BundleParts::CompressedState* BundleParts::find(const LogPosition& position, const LogPosition& base)
{
    const auto found = std::ranges::find_if(
        cached_, [&](const CompressedState& cached) { return cached.position == position && cached.base == base; });
    if (found == cached_.end())
        return nullptr;
    std::rotate(found, found + 1, cached_.end());
    return &cached_.back();
}

const BundleParts::CompressedState& BundleParts::compressedFor(const LogPosition& hostPosition)
{
    const bool hasBase = hostPosition != LogPosition {} && hostPosition == previous_.position;
    const LogPosition base = hasBase ? hostPosition : LogPosition {};
    if (const CompressedState* cached = find(inForce_.position, base))
        return *cached;
    std::string bytes
        = compressContent(*inForce_.content, hasBase ? std::string_view(*previous_.content) : std::string_view());
    const uint64_t checksum = XXH64(bytes.data(), bytes.size(), 0);
    if (cached_.size() >= MaxCachedStates)
        cached_.pop_front();
    return cached_.emplace_back(CompressedState {.position = inForce_.position,
        .version = inForce_.version,
        .base = base,
        .bytes = std::move(bytes),
        .checksum = checksum});
}

model::BundlePart BundleParts::partOf(const CompressedState& cached, uint64_t offset, const Answer& answer)
{
    return {.position = cached.position,
        .version = cached.version,
        .totalSize = cached.bytes.size(),
        .offset = offset,
        .checksum = cached.checksum,
        .bytes = cached.bytes.substr(offset, PartBytes),
        .age = answer.age,
        .pull = answer.pull,
        .base = cached.base};
}

model::Message BundleParts::firstMessage(const LogPosition& hostPosition, const Answer& answer)
{
    if (inForce_.content->size() > PartBytes)
        return partOf(compressedFor(hostPosition), 0, answer);
    return model::BundlePush {.position = inForce_.position,
        .version = inForce_.version,
        .content = *inForce_.content,
        .age = answer.age,
        .pull = answer.pull};
}

std::optional<model::Message> BundleParts::nextMessage(const model::BundlePull& pull, const Answer& answer)
{
    const CompressedState* cached = find(pull.partOf, pull.partBase);
    if (cached == nullptr || pull.offset >= cached->bytes.size())
        return std::nullopt;
    return partOf(*cached, pull.offset, answer);
}

} // namespace saltvane::control
