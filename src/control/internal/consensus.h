/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/election.h"
#include "control/internal/entryreceiver.h"
#include "control/internal/replicator.h"
#include "control/internal/snapshotreceiver.h"

#include <memory>
#include <optional>
#include <string>

namespace saltvane::control {

/// One replica of the log, after "In Search of an Understandable Consensus Algorithm" (Ongaro, Ousterhout 2014): elects
/// a leader, replicates opaque entries and applies the committed ones to the state machine.
/// docs/design/0006-control.md
class Consensus {
public:
    Consensus(const ControlReplicaOptions& options, IStateMachine& machine);

    /// Must be called before each event: sets the time, and starts the replica at the first event.
    void begin(Timestamp now);
    void handle(const HostId& from, const model::VoteRequest& request);
    void handle(const HostId& from, const model::VoteReply& reply);
    void handle(const HostId& from, const model::StartNotice& notice);
    void handle(const HostId& from, const model::AppendRequest& request);
    void handle(const HostId& from, const model::AppendReply& reply);
    void handle(const HostId& from, const model::SnapshotChunk& chunk);
    void handle(const HostId& from, const model::SnapshotReply& reply);
    void complete(const StorageDone& done);
    void fail(const StorageFailed& failed);
    void tick();

    /// Writes the first entry of an empty log, which contains the initial configuration.
    void bootstrap(std::string payload);
    /// Appends an entry to the leader's log. The entry may be lost until it is committed.
    LogPosition propose(std::string payload);
    void send(const HostId& to, model::Message message) { context_.send(to, std::move(message)); }
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing();
    [[nodiscard]] std::vector<StorageWrite> drainWrites();

    [[nodiscard]] bool isLeader() const { return context_.role == Role::Leader; }
    /// A leader that has committed the first entry of its term.
    [[nodiscard]] bool isEstablished() const { return isLeader() && context_.commit >= termStart_; }
    [[nodiscard]] bool isCurrent(Timestamp now) const;
    [[nodiscard]] Duration proofAge(Timestamp now) const;
    [[nodiscard]] const ReplicaContext& context() const { return context_; }
    [[nodiscard]] const Replicator& replicator() const { return replicator_; }
    /// The disk has no data of a deployment, and no write has been requested since the start.
    [[nodiscard]] bool isUnwritten() const;

private:
    [[nodiscard]] std::optional<Timestamp> provenAt(Timestamp now) const;
    bool acceptLeader(const HostId& from, LogTerm term, const model::ReplicaId& leader);
    void updateAfterEvent();
    void startLeading();
    void stopWithoutQuorum();
    void advanceCommit();
    void applyCommitted();
    void takeSnapshot();
    void onSnapshotDurable();
    void installSnapshot();

    ReplicaContext context_;
    Election election_;
    EntryReceiver receiver_;
    SnapshotReceiver snapshotReceiver_;
    Replicator replicator_;
    const bool isStartable_; ///< The disk had no data of a deployment at start.
    bool hasStarted_ = false;
    bool isLeading_ = false;
    Timestamp leadingSince_ {};
    LogIndex termStart_; ///< First entry of this replica's latest term as leader.
    LogIndex applied_;
    size_t bytesSinceSnapshot_ = 0;
    std::shared_ptr<const Snapshot> snapshotInWriting_;
    uint64_t snapshotSequence_ = 0;
};

} // namespace saltvane::control
