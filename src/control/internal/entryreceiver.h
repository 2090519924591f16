/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/replicacontext.h"

namespace saltvane::control {

/// A follower's side of log replication: appends the leader's entries and acknowledges those that are durable.
class EntryReceiver {
public:
    explicit EntryReceiver(ReplicaContext& context);

    /// The request must be of the current term, and its sender the leader.
    void handle(const model::AppendRequest& request, bool mayAppend);
    /// Called for a new term or leader: uncommitted entries are not yet known to match its log.
    void startTerm();
    /// Acknowledges entries that have become durable since the last acknowledgement.
    void onDurable();
    /// The leader's snapshot up to `index` was installed.
    void onSnapshotInstalled(LogIndex index);
    /// Highest index that is committed, matches the leader's log and is durable here.
    [[nodiscard]] LogIndex committable() const;

private:
    [[nodiscard]] bool matches(const model::AppendRequest& request) const;
    void appendEntries(const model::AppendRequest& request);
    void refuse(const model::AppendRequest& request);
    void acknowledge();

    ReplicaContext& context_;
    LogIndex verified_; ///< The log matches the leader's up to this index.
    LogIndex leaderCommit_;
    LogIndex acknowledged_;
    uint64_t lastRound_ = 0;
};

} // namespace saltvane::control
