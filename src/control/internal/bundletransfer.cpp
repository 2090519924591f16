/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/bundletransfer.h"

#include "control/internal/contentcodec.h"

#include <utility>
#include <xxhash.h>

namespace saltvane::control {

namespace {

/// Over anything an operator may put in force (3.5 MiB): what claims to be larger is no state.
constexpr uint64_t LargestState = 4 * 1024 * 1024;

} // namespace

bool BundleTransfer::take(const model::BundlePart& part, bool isRestart)
{
    if (part.bytes.empty() || part.totalSize > LargestState)
        return false;
    const bool isOfThis = part.position == position_ && part.base == base_ && part.totalSize == totalSize_
        && part.checksum == checksum_;
    if (part.offset == 0 && (!isUnderWay() || (isRestart && !isOfThis))) {
        position_ = part.position;
        base_ = part.base;
        totalSize_ = part.totalSize;
        checksum_ = part.checksum;
        bytes_ = part.bytes;
        return true;
    }
    if (!isUnderWay() || !isOfThis || part.offset != offset())
        return false;
    bytes_ += part.bytes;
    return true;
}

std::optional<std::string> BundleTransfer::finish(std::string_view base)
{
    const std::string bytes = std::exchange(bytes_, {});
    const bool isWhole = XXH64(bytes.data(), bytes.size(), 0) == checksum_;
    const bool isAlone = base_ == LogPosition {};
    reset();
    if (!isWhole)
        return std::nullopt;
    return decompressContent(bytes, isAlone ? std::string_view() : base, LargestState);
}

void BundleTransfer::reset()
{
    totalSize_ = 0;
    bytes_ = {};
}

} // namespace saltvane::control
