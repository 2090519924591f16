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

/// One replica of the control part: replicated log, replicated state, operators' requests, claims.
/// docs/design/0006-control.md
class IControlReplica {
public:
    virtual ~IControlReplica() = default;

    /// Log messages, JoinRequest and ClaimRequest.
    virtual void handle(const model::Delivery& delivery, Timestamp now) = 0;
    virtual void handle(const StorageDone& done, Timestamp now) = 0;
    virtual void handle(const StorageFailed& failed, Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;
    /// A link stands with this start of the host: messages of its older starts are dropped.
    virtual void noteLinkUp(const HostId& host, Incarnation incarnation) = 0;

    /// Takes an operator's request; the answer comes by takeAnswers once committed or refused. The same request
    /// again gets the first answer.
    [[nodiscard]] virtual SubmissionId submit(Command command, Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<SubmissionAnswer> takeAnswers() = 0;

    [[nodiscard]] virtual std::vector<model::Outgoing> takeOutgoing() = 0;
    [[nodiscard]] virtual std::vector<StorageWrite> takeWrites() = 0;

    [[nodiscard]] virtual bool isLeader() const = 0;
    /// Proof from a quorum within the lease: a leader by its rounds, a follower by a leader that had it.
    [[nodiscard]] virtual bool isCurrent(Timestamp now) const = 0;
    /// Since that proof; for pushes and status pages.
    [[nodiscard]] virtual Duration proofAge(Timestamp now) const = 0;
    [[nodiscard]] virtual HostId leaderHost() const = 0;
    [[nodiscard]] virtual LogTerm term() const = 0;
    [[nodiscard]] virtual LogIndex commitIndex() const = 0;
    /// As committed: once all of them are voters, any minority of them may be lost.
    [[nodiscard]] virtual const std::vector<ReplicaInfo>& replicas() const = 0;
    [[nodiscard]] virtual bool isVoter() const = 0;
    /// All versions known, oldest first.
    [[nodiscard]] virtual std::vector<const BundleRecord*> bundles() const = 0;
    /// The version in force; none before the first.
    [[nodiscard]] virtual const BundleRecord* inForce() const = 0;
    /// The route plan in force and the standing orders about zones and targets.
    [[nodiscard]] virtual const RoutingState& routing() const = 0;
    /// Control hosts that a replica outside of the group asks to be let in, beside those of the settings.
    virtual void setJoinHosts(std::vector<HostId> hosts) = 0;
};

/// Parses and checks a bundle's text; given by settings, so that control knows no YAML.
using BundleParser = std::function<Result<model::Bundle, Findings>(std::string_view content)>;
/// Checks a route plan's text and gives the version that it states.
using PlanChecker = std::function<Result<BundleVersion, Findings>(std::string_view content)>;

struct ControlReplicaOptions {
    HostId self;
    Incarnation incarnation;
    RecoveredState recovered;
    std::vector<HostId> bootstrapHosts; ///< Control hosts of the settings: the first replicas of an empty deployment.
    std::vector<model::Operator> bootstrapOperators; ///< Who may sign the first bundle.
    BundleParser parseBundle;
    PlanChecker checkPlan;
    /// False: never writes the first configuration; an empty disk only joins.
    bool mayFound = true;
    /// Takes in control hosts that the settings don't name, and lets go of those that stay away.
    bool isMembershipOpen = false;
    std::function<int64_t()> wallClockUnixMs; ///< Read only by a leader when it appends.
    Duration electionTimeout = 600ms; ///< Jittered up to twice.
    Duration leaderHeartbeat = 100ms;
    Duration lease = 500ms; ///< Under the election timeout.
    uint32_t entriesPerSnapshot = 4096;
    uint32_t snapshotChunk = 64 * 1024;
    uint64_t seed = 1;
    model::Counters* counters = nullptr;
};

/// Null when the recovered snapshot or an entry is no state of this version: the host must not start with it.
[[nodiscard]] std::unique_ptr<IControlReplica> makeControlReplica(const ControlReplicaOptions& options);

/// Hex digest of a bundle's content: what operators sign (BLAKE2b, libsodium).
[[nodiscard]] std::string contentDigest(std::string_view content);
/// The exact text that a signature covers, for each kind of request.
[[nodiscard]] std::string proposalText(const ProposeBundle& proposal);
[[nodiscard]] std::string approvalText(const ApproveBundle& approval);
[[nodiscard]] std::string revertText(const RevertBundle& revert);

} // namespace saltvane::control
