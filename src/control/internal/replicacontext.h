/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "control/internal/configurationhistory.h"
#include "control/internal/followerproof.h"
#include "control/internal/istatemachine.h"
#include "control/internal/replicatedlog.h"
#include "control/internal/storagequeue.h"
#include "model/message.h"

#include <memory>
#include <string>
#include <vector>

namespace saltvane::control {

enum class Role { Follower, PreCandidate, Candidate, Leader };

/// A snapshot with its position in the log.
struct Snapshot {
    LogIndex index;
    LogTerm term;
    uint64_t checksum = 0; ///< xxhash64 of the bytes.
    std::string bytes;
};

[[nodiscard]] uint64_t checksumOf(std::string_view bytes);

/// State shared by the components of one replica's consensus.
class ReplicaContext {
public:
    ReplicaContext(const ControlReplicaOptions& replicaOptions, IStateMachine& stateMachine);

    void send(const HostId& to, model::Message message);
    /// Delays the message until the write with this sequence is durable.
    void sendWhenDurable(uint64_t sequence, const HostId& to, model::Message message);
    /// Sends the delayed messages whose writes are durable.
    void releaseDurable();

    /// Becomes a follower in the current or a newer term, with the leader unknown.
    void follow(LogTerm term);
    uint64_t setHardState(const HardState& state);
    void append(model::LogEntry entry);
    void truncateFrom(LogIndex index);
    void count(model::Counter counter) const;

    const ControlReplicaOptions& options;
    IStateMachine& machine;
    const model::ReplicaId self;
    HardState hardState;
    Role role = Role::Follower;
    model::ReplicaId leader; ///< Empty: unknown.
    HostId leaderHost;
    Timestamp leaderContactAt {}; ///< Latest message from a leader; before the first, the start of the process.
    ReplicatedLog log;
    ConfigurationHistory configurations;
    StorageQueue storage;
    LogIndex commit;
    std::shared_ptr<const Snapshot> snapshot;
    FollowerProof proof;
    Timestamp now {};
    std::vector<model::OutgoingMessage> outgoing;

private:
    struct DelayedMessage {
        uint64_t sequence = 0;
        model::OutgoingMessage outgoing;
    };
    std::vector<DelayedMessage> delayed_;
};

} // namespace saltvane::control
