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

/// Messages of the replicated log and of the distribution of the committed bundles and plans.
namespace saltvane::model {

/// Identifies one disk of one control host: a replacement disk has a new id.
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
    /// StartNotice::start of the voter that receives this request, if all voters have sent a notice; otherwise 0.
    uint64_t voterStart = 0;
};

/// Sent to the known voters by a process that has not heard from a leader since it started.
struct StartNotice {
    ReplicaId replica;
    uint64_t start = 0; ///< The process's incarnation, which distinguishes the starts of one host.
    LogIndex lastIndex;
    LogTerm lastTerm;
    bool isAnswer = false; ///< Answers a notice, and expects no answer itself.
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
    uint64_t round = 0; ///< Echoed in the reply; proves that the sender was still the leader when it sent this round.
    std::vector<LogEntry> entries;
    Duration proofAge = Duration::max(); ///< Time since a quorum last confirmed the leader; max() if none did.
    uint64_t heardRound = 0; ///< Highest round that the receiver answered, as known to the leader. Dates the proof.
};

struct AppendReply {
    LogTerm term;
    ReplicaId replica;
    bool isAccepted = false;
    LogIndex match; ///< If accepted: the log is durable up to here. Otherwise: where to resume.
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
    uint64_t received = 0; ///< Next offset to send; the total size once the snapshot is installed.
};

/// Asks the leader to add a replica as a learner; sent by a replica that is in no configuration known to it.
/// Between new disks it also serves to assemble the first configuration (docs/design/0006-control.md).
struct JoinRequest {
    ReplicaId replica;
    HostId host;
    bool isNewDisk = false; ///< The disk holds nothing but the replica id.
    ReplicaId inviter; ///< Coordinator of the first start whose invitation this answers; empty otherwise.
};

/// The bundle or plan in force, sent from control hosts to zone relays and from a relay to the hosts of its zone. A
/// large one is sent as BundlePart messages.
struct BundlePush {
    LogPosition position;
    BundleVersion version;
    std::string content; ///< The bundle's or plan's text, as the operator sent it.
    Duration age {}; ///< Time since a quorum of control hosts confirmed that it is current.
    uint64_t pull = 0; ///< Number of the pull that this answers; 0: sent without a pull.
};

/// A part of the compressed bundle or plan in force. A host that receives the first part pulls the others one by one.
struct BundlePart {
    LogPosition position;
    BundleVersion version;
    uint64_t totalSize = 0; ///< Of the bytes of all parts.
    uint64_t offset = 0;
    uint64_t checksum = 0; ///< xxhash64 of the bytes of all parts.
    std::string bytes;
    Duration age {}; ///< As in BundlePush.
    uint64_t pull = 0; ///< Number of the pull that this answers; 0: sent without a pull.
    LogPosition base {}; ///< State that it was compressed against; position 0: none.
};

/// Requests the bundle or plan in force. Answered with BundlePush or the first BundlePart if the answering host has a
/// newer one, otherwise with BundleCurrent.
struct BundlePull {
    LogPosition have;
    bool isStarting = false; ///< The requesting host does not serve requests yet.
    uint64_t pull = 0; ///< Echoed in the answer; tells when the age in it was current.
    LogPosition partOf {}; ///< State whose next part is requested; position 0: the newest one, from its first part.
    LogPosition partBase {}; ///< State that those parts were compressed against.
    uint64_t offset = 0; ///< Offset of the requested part.
    bool wantsWhole = false; ///< Not to be compressed against `have`, because decompressing against it failed.
    bool wantsFullReport = false; ///< A report of orders was missed: the receiver has to send its full TargetReport.
};

struct BundleCurrent {
    LogPosition position;
    Duration age {}; ///< As in BundlePush.
    uint64_t pull = 0; ///< Number of the pull that this answers.
    /// From a registry host to a gateway: log position up to which its TargetReports before this answer told the
    /// orders.
    LogPosition orders {};
};

} // namespace saltvane::model
