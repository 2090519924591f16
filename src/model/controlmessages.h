/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages of the replicated log and of the distribution of what it committed.
namespace saltvane::model {

/// Identifies one disk of one control host: a replaced disk has another.
using ReplicaId = Name<struct ReplicaIdTag>;

struct LogEntry {
    LogIndex index;
    LogTerm term;
    std::string payload; ///< Encoded control::Command.
    auto operator<=>(const LogEntry&) const = default;
};

struct VoteRequest {
    LogTerm term;
    ReplicaId candidate;
    LogIndex lastIndex;
    LogTerm lastTerm;
    bool isPreVote = false;
    /// The start that the voter told of by a StartNotice, where all voters told of theirs; else 0.
    uint64_t voterStart = 0;
};

/// Of a process that has heard of no leader since it started, to the voters it knows.
struct StartNotice {
    ReplicaId replica;
    uint64_t start = 0; ///< The process's incarnation: tells apart the starts of one host.
    LogIndex lastIndex;
    LogTerm lastTerm;
    bool isAnswer = false; ///< To a notice: wants no answer.
};

struct VoteReply {
    LogTerm term;
    ReplicaId voter;
    bool isGranted = false;
    bool isPreVote = false;
};

struct AppendRequest {
    LogTerm term;
    ReplicaId leader;
    LogIndex previousIndex;
    LogTerm previousTerm;
    LogIndex commit;
    uint64_t round = 0; ///< Echoed; proves the leader current at the time it sent the round.
    std::vector<LogEntry> entries;
    Duration proofAge = Duration::max(); ///< Since a quorum last proved the leader current; max() without a proof.
    uint64_t heardRound = 0; ///< Highest round whose reply from the receiver reached the leader: dates the proof.
};

struct AppendReply {
    LogTerm term;
    ReplicaId replica;
    bool isAccepted = false;
    LogIndex match; ///< Accepted: durable up to here. Otherwise: try from here.
    uint64_t round = 0;
};

struct SnapshotChunk {
    LogTerm term;
    ReplicaId leader;
    LogIndex lastIndex;
    LogTerm lastTerm;
    uint64_t offset = 0;
    uint64_t totalSize = 0;
    uint64_t checksum = 0; ///< xxhash64 of the whole snapshot.
    std::string bytes;
};

struct SnapshotReply {
    LogTerm term;
    ReplicaId replica;
    LogIndex lastIndex;
    uint64_t received = 0; ///< Next offset wanted; the total size once installed.
};

/// A replica that is in no configuration it knows of asks the leader to be let in as a learner.
/// Among new disks it also gathers the first configuration (docs/design/0006-control.md).
struct JoinRequest {
    ReplicaId replica;
    HostId host;
    bool isNewDisk = false; ///< Nothing but the replica id was ever written to the disk.
    ReplicaId inviter; ///< The coordinator of the first start that this answers; empty otherwise.
};

/// What is in force, sent from control to zone relays and from a relay to its zone's hosts. A large one goes in parts.
struct BundlePush {
    LogPosition position;
    BundleVersion version;
    std::string content; ///< The bundle's or plan's text, as the operator sent it.
    Duration age {}; ///< Time since a control quorum confirmed it as current.
    uint64_t pull = 0; ///< Number of the pull this answers; 0: sent unasked.
};

/// A piece of a state in force, which is compressed. A host that gets the first one pulls the next ones, one at a time.
struct BundlePart {
    LogPosition position;
    BundleVersion version;
    uint64_t totalSize = 0; ///< Of the bytes of all parts.
    uint64_t offset = 0;
    uint64_t checksum = 0; ///< xxhash64 of the bytes of all parts.
    std::string bytes;
    Duration age {}; ///< As in BundlePush.
    uint64_t pull = 0; ///< Number of the pull this answers; 0: sent unasked.
    LogPosition base {}; ///< The state that it was compressed against; none: it stands alone.
};

/// Pull of the state in force; answered with BundlePush or the first BundlePart when the answerer holds a newer one,
/// else with BundleCurrent.
struct BundlePull {
    LogPosition have;
    bool isStarting = false; ///< The asker serves nobody yet.
    uint64_t pull = 0; ///< Echoed in the answer; dates the age it tells.
    LogPosition partOf {}; ///< The state whose next part is wanted; none: the newest state, from its beginning.
    LogPosition partBase {}; ///< What that state's parts were compressed against.
    uint64_t offset = 0; ///< Of the part that is wanted.
    bool wantsWhole = false; ///< Not compressed against `have`: that failed.
};

struct BundleCurrent {
    LogPosition position;
    Duration age {}; ///< As in BundlePush.
    uint64_t pull = 0; ///< Number of the pull this answers.
};

} // namespace saltvane::model
