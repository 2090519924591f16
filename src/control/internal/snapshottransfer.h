/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/replicacontext.h"

#include <memory>
#include <optional>

namespace saltvane::control {

/// A leader's side of one snapshot transfer: sends a few chunks ahead of what the follower has confirmed. If a follower
/// confirms the same offset again, it lacks the chunk there, which is resent once without waiting for the timeout.
class SnapshotTransfer {
public:
    SnapshotTransfer(std::shared_ptr<const Snapshot> snapshot, uint32_t chunkSize);

    [[nodiscard]] LogIndex index() const { return snapshot_->index; }
    /// The next chunk if the window is not full. The caller sets the term and leader.
    [[nodiscard]] std::optional<model::SnapshotChunk> nextChunk(Timestamp now);
    /// True once the follower has received the complete snapshot.
    bool acknowledge(const model::SnapshotReply& reply, Timestamp now);
    /// After `timeout` without progress, resumes at the offset that the follower last reported. A restart of the
    /// follower may have lowered it.
    void expire(Duration timeout, Timestamp now);

private:
    [[nodiscard]] model::SnapshotChunk chunkAt(uint64_t offset) const;

    std::shared_ptr<const Snapshot> snapshot_;
    uint64_t chunkSize_;
    uint64_t confirmed_ = 0;
    uint64_t sent_ = 0;
    uint64_t reported_ = 0; ///< Offset in the follower's latest reply.
    std::optional<uint64_t> resent_; ///< Offset of the latest resent chunk.
    bool isResendDue_ = false;
    Timestamp activeAt_ {};
};

} // namespace saltvane::control
