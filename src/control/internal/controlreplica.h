/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "control/internal/claimrequests.h"
#include "control/internal/consensus.h"
#include "control/internal/controlstate.h"
#include "control/internal/joining.h"
#include "control/internal/operatorrequests.h"
#include "control/internal/replicachanges.h"

#include <map>

namespace saltvane::control {

/// Connects the components of one control replica and dispatches events to them.
class ControlReplica final : public IControlReplica {
public:
    explicit ControlReplica(const ControlReplicaOptions& options);

    void handle(const model::Delivery& delivery, Timestamp now) override;
    void handle(const StorageDone& done, Timestamp now) override;
    void handle(const StorageFailed& failed, Timestamp now) override;
    void tick(Timestamp now) override;
    void onLinkUp(const HostId& host, Incarnation incarnation) override;

    [[nodiscard]] SubmissionId submit(Command command, Timestamp now) override;
    [[nodiscard]] std::vector<SubmissionAnswer> drainAnswers() override;
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing() override;
    [[nodiscard]] std::vector<StorageWrite> drainWrites() override;

    [[nodiscard]] bool isLeader() const override;
    [[nodiscard]] bool isCurrent(Timestamp now) const override;
    [[nodiscard]] Duration proofAge(Timestamp now) const override;
    [[nodiscard]] HostId leaderHost() const override;
    [[nodiscard]] LogTerm term() const override;
    [[nodiscard]] LogIndex commitIndex() const override;
    [[nodiscard]] const std::vector<ReplicaInfo>& replicas() const override;
    [[nodiscard]] bool isVoter() const override;
    [[nodiscard]] std::vector<const BundleRecord*> bundles() const override;
    [[nodiscard]] const BundleRecord* inForce() const override;
    [[nodiscard]] const RoutingState& routing() const override { return state_.routing().state(); }
    void setJoinHosts(std::vector<HostId> hosts) override { joining_.setHosts(std::move(hosts)); }

private:
    template <typename Kind> void dispatch(const model::Delivery& delivery, const Kind& message, Timestamp now);
    [[nodiscard]] bool isOutdated(const model::Delivery& delivery);
    void finishEvent(Timestamp now);

    ControlReplicaOptions options_;
    ControlState state_;
    Consensus consensus_;
    Joining joining_;
    ReplicaChanges replicaChanges_;
    OperatorRequests operatorRequests_;
    ClaimRequests claimRequests_;
    std::map<HostId, Incarnation> incarnations_; ///< Latest known incarnation of each host.
};

} // namespace saltvane::control
