/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "control/internal/consensus.h"

#include <map>
#include <optional>
#include <vector>

namespace saltvane::control {

/// A leader's configuration changes, one replica at a time. If a host joins with a new disk, the replica of its lost
/// disk is removed and the new one added as a learner, which becomes a voter once it has everything that was committed
/// when it joined. With open membership unresponsive replicas are removed too: soon if a host with a new disk requests
/// to join, otherwise after a longer time and only as far as that lowers the quorum. A removed replica that is
/// responsive again joins like a new one.
class ReplicaChanges {
public:
    ReplicaChanges(const ControlReplicaOptions& options, Consensus& consensus);

    void handle(const HostId& from, const model::JoinRequest& request, Timestamp now);
    void tick(Timestamp now);

private:
    struct Joiner {
        model::ReplicaId replica;
        bool isNewDisk = false; ///< May replace an unresponsive host. A replica with data is returning.
        Timestamp requestedAt;
    };

    void recordUnresponsive(Timestamp now);
    /// The replicas without the one that has been unresponsive longest, if beyond its removal delay. `hasJoiner`:
    /// another host waits to join.
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> withoutUnresponsive(
        const Configuration& configuration, bool hasJoiner, Timestamp now);
    /// Whether another host has joined in the place of one that has been unresponsive since then.
    [[nodiscard]] bool isReplaced(Timestamp unresponsiveSince) const;
    [[nodiscard]] bool isOverdue(const ReplicaInfo& info, bool hasJoiner, Timestamp now) const;
    /// Whether the removal of an overdue voter lowers the quorum, alone or together with that of the next one.
    [[nodiscard]] bool isRemovalUseful(const Configuration& configuration, Timestamp now) const;
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> nextChange(Timestamp now);
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> nextJoin(const Configuration& configuration, Timestamp now);
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> nextPromotion(const Configuration& configuration) const;

    const ControlReplicaOptions& options_;
    Consensus& consensus_;
    std::map<HostId, Joiner> joiners_;
    std::map<model::ReplicaId, Timestamp> unresponsiveSince_; ///< As observed by this leader.
    std::optional<Timestamp> joinedAt_; ///< When a new host joined for which no replica has been removed yet.
};

} // namespace saltvane::control
