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

/// What a leader knows of one follower, and how much it may send it: one message at a time until the logs are known to
/// meet, then a bounded number of bytes ahead.
class FollowerProgress {
public:
    FollowerProgress() = default;
    explicit FollowerProgress(LogIndex lastIndex);

    [[nodiscard]] LogIndex match() const { return match_; }
    [[nodiscard]] LogIndex next() const { return next_; }
    [[nodiscard]] bool mayAppend() const;
    void noteAppend(LogIndex last, size_t bytes, Timestamp now);
    void accept(LogIndex match);
    void reject(LogIndex hint);
    /// Messages unanswered for `timeout` count as lost.
    void expire(Duration timeout, Timestamp now);

    [[nodiscard]] std::optional<SnapshotTransfer>& transfer() { return transfer_; }
    void finishTransfer();

    Timestamp lastSentAt {}; ///< Of any message.
    LogIndex toldCommit;

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
