/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace saltvane::net {

/// A record on disk: magic (4 bytes), length of the payload (4), checksum (8), payload. Little endian. The checksum is
/// xxhash64 of length and payload, seeded with the file's number and the record's offset, so that a record is invalid
/// at any other position. docs/STORAGE.md
struct RecordPosition {
    uint64_t file = 0; ///< Number of the segment, or index of the snapshot.
    uint64_t offset = 0;
};

inline constexpr size_t RecordHeaderBytes = 16;
inline constexpr size_t MaxRecordPayloadBytes = 1024 * 1024 * 1024;

[[nodiscard]] std::string encodeRecord(const RecordPosition& position, std::string_view payload);
/// The payload of the record at `position`, as a part of `file`; no value if no complete, valid record is there.
[[nodiscard]] std::optional<std::string_view> recordAt(std::string_view file, const RecordPosition& position);
/// True if a valid record begins at `position` or after it.
[[nodiscard]] bool hasRecordFrom(std::string_view file, RecordPosition position);

} // namespace saltvane::net
