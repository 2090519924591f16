/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "net/internal/diskcalls.h"
#include "net/internal/logitems.h"
#include "net/internal/uniquefd.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace saltvane::net {

/// Name of a segment's file: "segment-" and its number in 16 hexadecimal digits.
[[nodiscard]] std::string segmentName(uint64_t number);
[[nodiscard]] std::string snapshotName(LogIndex index);
/// The number in the name of a segment or snapshot; no value for other files.
[[nodiscard]] std::optional<uint64_t> segmentNumberOf(std::string_view name);
[[nodiscard]] std::optional<uint64_t> snapshotIndexOf(std::string_view name);

/// Result of reading a segment.
struct SegmentContent {
    uint64_t validBytes = 0; ///< Up to the end of the last valid record.
    uint64_t tornBytes = 0; ///< Of an incomplete write after that; only in the last segment.
};

/// Reads a segment and passes its items to `onItem`. A corrupted record is an error with its location, unless it is at
/// the end of the last segment, where it is a write that was never confirmed.
[[nodiscard]] Result<SegmentContent, IoError> readSegment(const std::string& path, uint64_t number, bool isLast,
    const std::function<std::optional<std::string>(const LogItem&)>& onItem);

/// The segment that is appended to.
class Segment {
public:
    /// Creates a new segment and syncs it and its folder.
    [[nodiscard]] static Result<std::unique_ptr<Segment>, IoError> create(
        IDiskCalls& disk, const std::string& folder, const SegmentStart& start);
    /// Opens a segment that was read and truncates it to `size` bytes.
    [[nodiscard]] static Result<std::unique_ptr<Segment>, IoError> open(
        IDiskCalls& disk, const std::string& folder, uint64_t number, uint64_t size);

    Segment(IDiskCalls& disk, std::string path, uint64_t number, UniqueFd fd, uint64_t size);

    [[nodiscard]] uint64_t number() const { return number_; }
    [[nodiscard]] uint64_t size() const { return size_; }

    /// Writes and syncs one record. After an error the partial write is discarded, at the latest before the next write.
    [[nodiscard]] Result<Success, IoError> append(std::string_view payload);

private:
    [[nodiscard]] Result<Success, IoError> discardPartialWrite();

    IDiskCalls& disk_;
    std::string path_;
    uint64_t number_;
    UniqueFd fd_;
    uint64_t size_; ///< Bytes of valid, synced records.
    bool hasPartialWrite_ = false; ///< Bytes of a failed write may follow size_.
};

} // namespace saltvane::net
