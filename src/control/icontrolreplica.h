/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/controltypes.h"
#include "model/counters.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace saltvane::control {

/// One replica of control: replicated log and state, operators' requests, claims of idempotency keys.
/// docs/design/0006-control.md
class IControlReplica {
public:
    virtual ~IControlReplica() = default;

    /// Handles consensus messages, JoinRequest and ClaimRequest.
    virtual void handle(const model::Delivery& delivery, Timestamp now) = 0;
    virtual void handle(const StorageDone& done, Timestamp now) = 0;
    virtual void handle(const StorageFailed& failed, Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;
    /// A link to this incarnation of the host is established; messages of its earlier incarnations are dropped.
    virtual void onLinkUp(const HostId& host, Incarnation incarnation) = 0;

    /// Submits an operator's request. drainAnswers returns the answer once the request is committed or refused. A
    /// resend of the same request gets the first answer.
    [[nodiscard]] virtual SubmissionId submit(Command command, Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<SubmissionAnswer> drainAnswers() = 0;

    [[nodiscard]] virtual std::vector<model::OutgoingMessage> drainOutgoing() = 0;
    [[nodiscard]] virtual std::vector<StorageWrite> drainWrites() = 0;

    [[nodiscard]] virtual bool isLeader() const = 0;
    /// Whether the latest proof from a quorum is within the lease. A leader obtains the proof by its append rounds, a
    /// follower from its leader.
    [[nodiscard]] virtual bool isCurrent(Timestamp now) const = 0;
    /// Time since that proof.
    [[nodiscard]] virtual Duration proofAge(Timestamp now) const = 0;
    [[nodiscard]] virtual HostId leaderHost() const = 0;
    [[nodiscard]] virtual LogTerm term() const = 0;
    [[nodiscard]] virtual LogIndex commitIndex() const = 0;
    /// Committed configuration. Once all of them are voters, the loss of any minority is tolerated.
    [[nodiscard]] virtual const std::vector<ReplicaInfo>& replicas() const = 0;
    [[nodiscard]] virtual bool isVoter() const = 0;
    /// All known bundle versions, in the order of their proposals.
    [[nodiscard]] virtual std::vector<const BundleRecord*> bundles() const = 0;
    /// The bundle in force; null before the first.
    [[nodiscard]] virtual const BundleRecord* inForce() const = 0;
    /// The route plan in force and the operator's orders for zones and targets.
    [[nodiscard]] virtual const RoutingState& routing() const = 0;
    /// Control hosts to which a replica that is no member sends join requests, in addition to those of the settings.
    virtual void setJoinHosts(std::vector<HostId> hosts) = 0;
};

/// Parses and validates a bundle. Provided by the settings module, so that control does not depend on YAML.
using BundleParser = std::function<Result<model::Bundle, Findings>(std::string_view content)>;
/// Validates a route plan and returns its version.
using PlanChecker = std::function<Result<BundleVersion, Findings>(std::string_view content)>;

struct ControlReplicaOptions {
    HostId self;
    Incarnation incarnation;
    RecoveredState recovered;
    std::vector<HostId> bootstrapHosts; ///< Control hosts of the settings: the initial replicas of a new deployment.
    std::vector<model::Operator> bootstrapOperators; ///< Who may sign the first bundle.
    BundleParser parseBundle;
    PlanChecker checkPlan;
    /// False: never writes the initial configuration; a replica with an empty disk only joins.
    bool mayBootstrap = true;
    /// Control hosts outside of the settings may join, and unresponsive replicas are removed.
    bool isMembershipOpen = false;
    std::function<int64_t()> wallClockUnixMs; ///< Only read by a leader when it appends a claim.
    Duration electionTimeout = 600ms; ///< Randomized up to twice this value.
    Duration heartbeatInterval = 100ms;
    Duration lease = 500ms; ///< Must be shorter than the election timeout.
    uint32_t entriesPerSnapshot = 4096;
    uint32_t snapshotChunkBytes = 64 * 1024;
    uint64_t seed = 1;
    model::Counters* counters = nullptr;
};

/// Null when the recovered snapshot or an entry cannot be read by this software version; the host must not start then.
[[nodiscard]] std::unique_ptr<IControlReplica> makeControlReplica(const ControlReplicaOptions& options);

/// Hex BLAKE2b digest of a bundle's content, which is part of the text that operators sign.
[[nodiscard]] std::string contentDigest(std::string_view content);
// The exact text that a signature covers, for each kind of request.
[[nodiscard]] std::string proposalText(const ProposeBundle& proposal);
[[nodiscard]] std::string approvalText(const ApproveBundle& approval);
[[nodiscard]] std::string revertText(const RevertBundle& revert);

} // namespace saltvane::control
