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

/// Above the limit for bundles and plans (3.5 MiB); a larger declared size is invalid.
constexpr uint64_t MaxStateBytes = 4 * 1024 * 1024;

} // namespace

bool BundleTransfer::addPart(const model::BundlePart& part, bool isRestart)
{
    if (part.bytes.empty() || part.totalSize > MaxStateBytes)
        return false;
    const bool isSameState = part.position == position_ && part.base == base_ && part.totalSize == totalSize_
        && part.checksum == checksum_;
    if (part.offset == 0 && (!isInProgress() || (isRestart && !isSameState))) {
        position_ = part.position;
        base_ = part.base;
        totalSize_ = part.totalSize;
        checksum_ = part.checksum;
        bytes_ = part.bytes;
        return true;
    }
    if (!isInProgress() || !isSameState || part.offset != offset())
        return false;
    bytes_ += part.bytes;
    return true;
}

std::optional<std::string> BundleTransfer::finish(std::string_view base)
{
    const std::string bytes = std::exchange(bytes_, {});
    const bool isChecksumValid = XXH64(bytes.data(), bytes.size(), 0) == checksum_;
    const bool isSelfContained = base_ == LogPosition {};
    reset();
    if (!isChecksumValid)
        return std::nullopt;
    return decompressContent(bytes, isSelfContained ? std::string_view() : base, MaxStateBytes);
}

void BundleTransfer::reset()
{
    totalSize_ = 0;
    bytes_ = {};
}

} // namespace saltvane::control
