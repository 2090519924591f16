/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/followerprogress.h"
#include "control/internal/quorumproof.h"
#include "control/internal/replicacontext.h"

#include <map>
#include <optional>

namespace saltvane::control {

/// A leader's side of log replication: sends entries, heartbeats and snapshots, and tracks what a quorum has stored.
class Replicator {
public:
    explicit Replicator(ReplicaContext& context);

    void startTerm();
    void handle(const model::AppendReply& reply);
    void handle(const model::SnapshotReply& reply);
    /// Sends pending messages: new entries, an advanced commit index, heartbeats.
    void send();

    /// The highest index that is durable on a quorum and on this replica.
    [[nodiscard]] LogIndex quorumMatch() const;
    /// The latest time at which a quorum provably followed this leader.
    [[nodiscard]] std::optional<Timestamp> quorumContactAt() const;
    /// Sets the proof whose age is sent to followers; no value before the first entry of the term is committed.
    void setProof(std::optional<Timestamp> provenAt) { provenAt_ = provenAt; }
    [[nodiscard]] LogIndex matchOf(const model::ReplicaId& replica) const;
    [[nodiscard]] bool hadContactWithin(const model::ReplicaId& replica, Duration duration) const;

private:
    void followConfiguration();
    void sendTo(const ReplicaInfo& info, FollowerProgress& progress);
    void sendAppend(
        const ReplicaInfo& info, FollowerProgress& progress, LogIndex previous, std::vector<model::LogEntry> entries);
    void sendSnapshot(const ReplicaInfo& info, FollowerProgress& progress);

    ReplicaContext& context_;
    std::map<model::ReplicaId, FollowerProgress> progress_;
    QuorumProof quorumProof_;
    std::optional<Timestamp> provenAt_;
};

} // namespace saltvane::control
