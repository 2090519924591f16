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

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace saltvane::control {

/// One voting or learning replica of the log.
struct ReplicaInfo {
    model::ReplicaId replica;
    HostId host;
    bool isVoter = true;
    auto operator<=>(const ReplicaInfo&) const = default;
};

// Commands of the replicated log.
struct ProposeBundle {
    std::string content; ///< YAML as in version control.
    BundleVersion version;
    OperatorName author;
    std::string signature; ///< Ed25519 of the content's digest by the author, base64.
    int64_t proposedAtUnixMs = 0; ///< For people only; decides nothing.
};
struct ApproveBundle {
    BundleVersion version;
    std::string digest; ///< Hex; what the approver read.
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
    uint64_t claim = 0; ///< The holder's number of the claim: its resend is granted again.
    int64_t expiresAtUnixMs = 0;
    int64_t nowUnixMs = 0; ///< The leader's wall clock when it appended; expiry only ever moves forward with it.
};
struct ChangeReplicas {
    std::vector<ReplicaInfo> replicas; ///< Differs from the one before by one replica.
};
/// Replaces the route plan whole, if `base` is the version in force.
struct ReplacePlan {
    BundleVersion base; ///< 0: there is none yet.
    BundleVersion version;
    std::string content; ///< As the operator sent it.
};
/// Closes a zone's targets for every route, or opens them again.
struct SetEvacuation {
    ZoneName zone;
    bool isEvacuated = false;
};
/// A target that said it leaves: this start and all before it get no new work from any host again. A later start under
/// the same id isn't bound.
struct RetireTarget {
    TargetId target;
    Incarnation incarnation; ///< 0: not known. It binds the start that a host knows when it hears of the order.
};
/// Opens a leader's term.
struct NoOperation { };
using Command = std::variant<ProposeBundle, ApproveBundle, RevertBundle, ClaimKey, ChangeReplicas, NoOperation,
    ReplacePlan, SetEvacuation, RetireTarget>;

enum class BundleState { Proposed, InForce, Superseded };

/// What the replicated state knows of one version.
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

/// The replicated routing orders.
struct RoutingState {
    /// Far more than leave within the time a host could be cut off.
    static constexpr size_t KeptRetiredTargets = 8192;

    BundleVersion planVersion; ///< 0: no plan yet.
    std::string planContent;
    LogPosition planPosition; ///< Where the plan came into force.
    std::set<ZoneName> evacuatedZones;
    membership::RetiredTargets retiredTargets {KeptRetiredTargets};
    LogPosition ordersPosition; ///< Of the last change of zones or targets.
};

/// Why the control part refuses an operator's request.
enum class ControlErrorKind {
    NotCurrent, ///< No proof from a quorum: the host may be cut off.
    NotLeader,
    Conflict, ///< Same version, other content: `message` names the first and its author.
    NotFound,
    BadSignature,
    UnknownOperator,
    SelfApproval,
    Invalid, ///< The bundle has findings.
    StorageFull,
    Busy
};
struct ControlError {
    ControlErrorKind kind = ControlErrorKind::NotCurrent;
    std::string message;
    HostId leader; ///< Known leader, where NotLeader.
    std::vector<Finding> findings;
};

/// Number of an operator's request or claim at this host, to match its answer.
using SubmissionId = Number<struct SubmissionIdTag>;
struct SubmissionAnswer {
    SubmissionId submission;
    Result<BundleRecord, ControlError> result;
};

// What a replica keeps on disk, and how it asks for it. Done in order; counts only after StorageDone.
struct HardState {
    LogTerm term;
    model::ReplicaId votedFor;
};
struct StorageWrite {
    uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::optional<LogIndex> truncateFrom; ///< Drop entries from here on, before appending.
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
    std::string message; ///< E.g. disk full: the write may be tried again.
};

/// What was found on disk at start. A new disk gives a fresh replica id and nothing else.
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
