/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/snapshottransfer.h"

#include <deque>
#include <optional>

namespace saltvane::control {

/// A leader's replication state and flow control for one follower: one message at a time until a matching entry is
/// found, then a bounded number of messages and bytes in flight.
class FollowerProgress {
public:
    FollowerProgress() = default;
    explicit FollowerProgress(LogIndex lastIndex);

    [[nodiscard]] LogIndex match() const { return match_; }
    [[nodiscard]] LogIndex next() const { return next_; }
    [[nodiscard]] bool mayAppend() const;
    void recordAppend(LogIndex last, size_t bytes, Timestamp now);
    void accept(LogIndex match);
    void reject(LogIndex hint);
    /// Treats messages without an answer for `timeout` as lost.
    void expire(Duration timeout, Timestamp now);

    [[nodiscard]] std::optional<SnapshotTransfer>& transfer() { return transfer_; }
    void finishTransfer();

    Timestamp lastSentAt {}; ///< Time of the latest append request.
    LogIndex sentCommit; ///< Commit index in that request.

private:
    void probe();

    struct Sent {
        LogIndex last;
        size_t bytes = 0;
        Timestamp at;
    };
    LogIndex match_;
    LogIndex next_ {1};
    bool isProbing_ = true;
    std::deque<Sent> inFlight_;
    std::optional<SnapshotTransfer> transfer_;
};

} // namespace saltvane::control
