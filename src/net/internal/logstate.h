/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/internal/logitems.h"

#include <deque>
#include <optional>
#include <string>

namespace saltvane::net {

/// The state that results from applying the items of all segments in order. Segments before a gap are void: what they
/// hold has to be in the snapshot, which finish() checks.
class LogState {
public:
    /// Returns an error if the item cannot follow the previous ones.
    [[nodiscard]] std::optional<std::string> apply(const LogItem& item);
    /// Returns an error if entries are missing between the snapshot on disk and the log.
    [[nodiscard]] std::optional<std::string> finish(const SnapshotMark& snapshot);

    [[nodiscard]] const control::HardState& hardState() const { return hardState_; }
    /// Index and term of the last entry, or of the snapshot if no entry follows it.
    [[nodiscard]] SnapshotMark last() const;
    /// True if only the start of the first segment was ever written.
    [[nodiscard]] bool isEmpty() const { return isEmpty_; }
    /// The position that the entries follow: the last snapshot's mark, or the first segment's start.
    [[nodiscard]] const SnapshotMark& base() const { return base_; }
    /// The first of the segments that follow one another without a gap; 0 before the first start.
    [[nodiscard]] uint64_t firstSegment() const { return firstSegment_; }
    /// Moves the entries' payloads out; the entries stay here without them.
    [[nodiscard]] std::vector<model::LogEntry> releaseEntries();

private:
    [[nodiscard]] std::optional<std::string> applyStart(const SegmentStart& start);
    /// Takes the state before the segment from its start.
    void restartAt(const SegmentStart& start);
    [[nodiscard]] std::optional<std::string> applyEntry(const model::LogEntry& entry);
    void applyTruncate(LogIndex from);
    void applySnapshot(const SnapshotMark& mark);
    /// Whether the log holds this entry, as far as is known.
    [[nodiscard]] bool contains(const SnapshotMark& mark) const;
    [[nodiscard]] bool endsAt(const SnapshotMark& mark) const;

    control::HardState hardState_;
    std::optional<uint64_t> segment_; ///< Number of the current segment.
    uint64_t firstSegment_ = 0;
    bool isEmpty_ = true;
    SnapshotMark base_; ///< The entries follow it without a gap.
    /// Entries up to the base are in a snapshot. False: the base is where the first segment starts, and may be
    /// truncated.
    bool isBaseSnapshot_ = false;
    /// False: entries before the first segment were truncated, and the base is one whose term only an earlier segment
    /// holds.
    bool isBaseTermKnown_ = true;
    std::deque<model::LogEntry> entries_;
};

} // namespace saltvane::net
