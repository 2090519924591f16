/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "control/controltypes.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace saltvane::control {

/// Queue of disk writes. One write is outstanding at a time; changes that arrive meanwhile are merged into the next one
/// (group commit). A failed write is retried after a delay.
class StorageQueue {
public:
    explicit StorageQueue(LogIndex durableIndex);

    // Each returns the sequence number of the write whose completion makes the change durable.
    uint64_t setHardState(const HardState& state);
    uint64_t append(const model::LogEntry& entry);
    uint64_t truncateFrom(LogIndex index);
    uint64_t putSnapshot(std::string bytes, LogIndex index, LogTerm term);

    /// The next write, if none is outstanding.
    [[nodiscard]] std::vector<StorageWrite> drainWrites(Timestamp now);
    /// False if no write with this sequence is outstanding.
    bool complete(uint64_t sequence);
    void fail(uint64_t sequence, Timestamp now);

    [[nodiscard]] bool isFailing() const { return retryAt_.has_value() || isRetrying_; }
    /// Entries up to this index are durable and have not been truncated since.
    [[nodiscard]] LogIndex durableIndex() const { return durableIndex_; }
    [[nodiscard]] uint64_t completed() const { return completed_; }
    [[nodiscard]] bool isUnused() const { return lastSequence_ == 0; }

private:
    struct Pending {
        StorageWrite write;
        LogIndex lastIndex; ///< Durable index after this write.
    };
    Pending& openWrite();

    std::deque<Pending> pending_;
    bool isOutstanding_ = false;
    bool wasEmitted_ = false; ///< The first pending write must not change any more.
    bool isRetrying_ = false;
    std::optional<Timestamp> retryAt_;
    uint64_t lastSequence_ = 0;
    uint64_t completed_ = 0;
    LogIndex durableIndex_;
};

} // namespace saltvane::control
