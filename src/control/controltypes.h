/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/timetypes.h"
#include "membership/retiredtargets.h"
#include "model/bundle.h"
#include "model/controlmessages.h"
#include "model/message.h"
#include "model/rolloutmessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace saltvane::control {

/// A voter or learner (non-voting member) of the replicated log.
struct ReplicaInfo {
    model::ReplicaId replica;
    HostId host;
    bool isVoter = true;
    auto operator<=>(const ReplicaInfo&) const = default;
};

// Commands of the replicated log.
struct ProposeBundle {
    std::string content; ///< YAML, as stored in the operators' version control.
    BundleVersion version;
    OperatorName author;
    std::string signature; ///< Ed25519 of the content's digest by the author, base64.
    int64_t proposedAtUnixMs = 0; ///< Informational only.
};
struct ApproveBundle {
    BundleVersion version;
    std::string digest; ///< Hex digest of the content that the approver reviewed.
    OperatorName approver;
    std::string signature;
};
/// Puts the content of an earlier version in force again, as a new version.
struct RevertBundle {
    BundleVersion to;
    BundleVersion version; ///< The new version's number.
    OperatorName author;
    std::string signature;
};
struct ClaimKey {
    ServiceName service;
    std::string key;
    uint64_t fingerprint = 0;
    HostId holder;
    Incarnation holderIncarnation;
    uint64_t claim = 0; ///< Number assigned by the holder; a resend with the same number is granted again.
    int64_t expiresAtUnixMs = 0;
    /// Leader's wall clock when it appended the entry. It advances the clock that decides expiry, never sets it back.
    int64_t nowUnixMs = 0;
};
struct ChangeReplicas {
    std::vector<ReplicaInfo> replicas; ///< Differs from the previous configuration by exactly one replica.
};
/// Replaces the whole route plan, provided that `base` is the version in force.
struct ReplacePlan {
    BundleVersion base; ///< 0: no plan exists yet.
    BundleVersion version;
    std::string content; ///< As the operator sent it.
};
/// Starts or ends the evacuation of a zone. No route uses the targets of an evacuated zone.
struct SetEvacuation {
    ZoneName zone;
    bool isEvacuated = false;
};
/// Retires a target that announced it is leaving: no host sends new work to this or an earlier incarnation of it. Later
/// incarnations under the same id are not affected.
struct RetireTarget {
    TargetId target;
    /// 0: not known yet; a later order for the target names it, and until then all of its incarnations are retired.
    Incarnation incarnation;
};
/// Starts a rollout of a service.
struct StartRollout {
    ServiceName service;
    model::TargetVersion version;
    Duration timeLimit {};
};
/// Moves a rollout to a later phase. Submitted by the leader.
struct AdvanceRollout {
    ServiceName service;
    model::TargetVersion version;
    model::RolloutPhase phase = model::RolloutPhase::RolledBack;
    std::vector<model::TargetVersion> otherVersions; ///< Versions that are excluded once the rollout is completed.
};
/// First entry of a leader's term.
struct NoOperation { };
using Command = std::variant<ProposeBundle, ApproveBundle, RevertBundle, ClaimKey, ChangeReplicas, NoOperation,
    ReplacePlan, SetEvacuation, RetireTarget, StartRollout, AdvanceRollout>;

enum class BundleState { Proposed, InForce, Superseded };

/// Replicated record of one bundle version.
struct BundleRecord {
    BundleVersion version;
    BundleState state = BundleState::Proposed;
    OperatorName author;
    OperatorName approver;
    std::string digest;
    std::string content;
    LogPosition proposed;
    LogPosition approved;
    int64_t proposedAtUnixMs = 0;
    std::optional<BundleVersion> revertOf;
};

/// Replicated route plan and operator's orders for zones and targets.
struct RoutingState {
    /// Far more than the number of targets that can leave while a host is cut off.
    static constexpr size_t MaxRetiredTargets = 8192;

    BundleVersion planVersion; ///< 0: no plan yet.
    std::string planContent;
    LogPosition planPosition; ///< Log position at which the plan came into force.
    std::set<ZoneName> evacuatedZones;
    /// Log position at which the latest evacuation of each zone ended. Targets that have not reported since may be in a
    /// slow start.
    std::map<ZoneName, LogPosition> reopenedZones;
    membership::RetiredTargets retiredTargets {MaxRetiredTargets};
    uint64_t retirements = 0; ///< Number of entries added to retiredTargets so far; tells the new ones.
    std::map<ServiceName, model::RolloutOrder> rollouts; ///< The latest rollout of each service.
    LogPosition ordersPosition; ///< Log position of the latest change to zones, targets or rollouts.
};

/// Why control refuses an operator's request.
enum class ControlErrorKind {
    NotCurrent, ///< No recent proof from a quorum; the host may be cut off.
    NotLeader,
    UnderWay, ///< Another rollout of the service is under way.
    Conflict, ///< The version has other content, or another version is in force; `message` says which.
    NotFound,
    BadSignature,
    UnknownOperator,
    SelfApproval,
    Invalid, ///< Invalid bundle, plan or command; `findings` lists the errors of a bundle or plan.
    StorageFull,
    Busy
};
struct ControlError {
    ControlErrorKind kind = ControlErrorKind::NotCurrent;
    std::string message;
    HostId leader; ///< Set for NotLeader.
    std::vector<Finding> findings;
};

/// Identifies a request submitted at this host and its answer.
using SubmissionId = Number<struct SubmissionIdTag>;
struct SubmissionAnswer {
    SubmissionId submission;
    Result<BundleRecord, ControlError> result;
};

// Persistent state of a replica and its write requests. Writes are done in order; a write is durable only once
// StorageDone reports it.
struct HardState {
    LogTerm term;
    model::ReplicaId votedFor;
};
struct StorageWrite {
    uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::optional<LogIndex> truncateFrom; ///< Delete entries from this index on before appending.
    std::vector<model::LogEntry> append;
    std::optional<std::string> snapshot; ///< Replaces entries up to snapshotIndex.
    LogIndex snapshotIndex;
    LogTerm snapshotTerm;
};
struct StorageDone {
    uint64_t sequence = 0;
};
struct StorageFailed {
    uint64_t sequence = 0;
    std::string message; ///< For example, disk full. The write may be retried.
};

/// State read from disk at start. A new disk gives a new replica id and nothing else.
struct RecoveredState {
    model::ReplicaId replica;
    bool isNewDisk = true;
    HardState hardState;
    LogIndex snapshotIndex;
    LogTerm snapshotTerm;
    std::string snapshot; ///< Empty: none.
    std::vector<model::LogEntry> entries;
};

} // namespace saltvane::control
