/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/controlmessages.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace saltvane::control {

/// The log entries in memory, which start after a base covered by a snapshot. Index 0 is before the first entry.
class ReplicatedLog {
public:
    ReplicatedLog(LogIndex baseIndex, LogTerm baseTerm);

    [[nodiscard]] LogIndex baseIndex() const { return baseIndex_; }
    [[nodiscard]] LogIndex lastIndex() const { return LogIndex {baseIndex_.value + entries_.size()}; }
    [[nodiscard]] LogTerm lastTerm() const;
    [[nodiscard]] bool isEmpty() const { return lastIndex() == LogIndex {}; }
    /// No value below the base or above the end.
    [[nodiscard]] std::optional<LogTerm> termAt(LogIndex index) const;
    [[nodiscard]] const model::LogEntry& at(LogIndex index) const;
    /// Entries from `from` on with up to `maxBytes` of payload, but at least one entry if there is any.
    [[nodiscard]] std::vector<model::LogEntry> slice(LogIndex from, size_t maxBytes) const;
    /// Index before the first entry of the term of `index`: where a leader continues the search after a mismatch.
    [[nodiscard]] LogIndex beforeTermOf(LogIndex index) const;

    void append(model::LogEntry entry);
    void truncateFrom(LogIndex index);
    /// Removes entries up to `index`, but retains up to `keepEntries` and `keepBytes` of them for slow followers.
    void compactTo(LogIndex index, size_t keepEntries, size_t keepBytes);
    /// Removes all entries; a snapshot at `index` replaces them.
    void reset(LogIndex index, LogTerm term);

private:
    LogIndex baseIndex_;
    LogTerm baseTerm_;
    std::deque<model::LogEntry> entries_;
};

} // namespace saltvane::control
