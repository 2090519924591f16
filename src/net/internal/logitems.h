/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/controltypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace saltvane::net {

/// Marks that a snapshot up to this entry is on disk.
struct SnapshotMark {
    LogIndex index;
    LogTerm term;
};
/// First item of each segment: the state before it, so that a missing segment is detected.
struct SegmentStart {
    uint64_t segment = 0;
    SnapshotMark last; ///< Index and term of the last entry before the segment.
    control::HardState hardState;
};
struct Truncate {
    LogIndex from;
};

/// An item of a segment's records. docs/STORAGE.md
using LogItem = std::variant<SegmentStart, control::HardState, Truncate, model::LogEntry, SnapshotMark>;

/// All items of one write, in the order in which they take effect.
[[nodiscard]] std::vector<LogItem> itemsOf(const control::StorageWrite& write);
[[nodiscard]] std::string encodeItems(const std::vector<LogItem>& items);
/// No value: unknown or incomplete items.
[[nodiscard]] std::optional<std::vector<LogItem>> decodeItems(std::string_view payload);

} // namespace saltvane::net
