/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/replicacontext.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace saltvane::control {

/// A follower's side of a snapshot transfer: assembles the chunks in order, reports the number of bytes received (so
/// that an interrupted transfer resumes there, also with another leader), verifies the checksum and stores the
/// snapshot.
class SnapshotReceiver {
public:
    explicit SnapshotReceiver(ReplicaContext& context);

    void handle(const model::SnapshotChunk& chunk);
    /// A complete snapshot is being written to disk; no entries are appended to the log meanwhile.
    [[nodiscard]] bool isInstalling() const { return installing_ != nullptr; }
    /// The received snapshot once it is durable, returned only once.
    [[nodiscard]] std::shared_ptr<const Snapshot> popInstalled();

private:
    void reply(const model::SnapshotChunk& chunk, uint64_t received);
    void gather(const model::SnapshotChunk& chunk);
    void forgetPartial();
    void storeComplete();
    [[nodiscard]] bool isSameTransfer(const model::SnapshotChunk& chunk) const;

    ReplicaContext& context_;
    Snapshot partial_;
    uint64_t partialSize_ = 0;
    std::map<uint64_t, std::string> earlyChunks_; ///< Chunks received before an earlier one, by offset.
    std::shared_ptr<const Snapshot> installing_;
    uint64_t installSequence_ = 0;
};

} // namespace saltvane::control
