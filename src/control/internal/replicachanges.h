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

/// A leader's changes of the replicas, one at a time: the replica of a disk that is gone leaves, the new one of the
/// same host joins as a learner, and votes once it holds everything committed when it joined. With an open membership
/// replicas that stay silent leave too: at once when another host asks to join, else after a long time.
class ReplicaChanges {
public:
    ReplicaChanges(const ControlReplicaOptions& options, Consensus& consensus);

    void handle(const HostId& from, const model::JoinRequest& request, Timestamp now);
    void tick(Timestamp now);

private:
    struct Joiner {
        model::ReplicaId replica;
        Timestamp askedAt;
    };

    void noteSilence(Timestamp now);
    /// The replicas without the one that was silent longest, and long enough. `hasJoiner`: another host waits.
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> withoutSilent(
        const Configuration& configuration, bool hasJoiner, Timestamp now);
    [[nodiscard]] Duration patience(Timestamp silentSince, bool hasJoiner) const;
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> nextChange(Timestamp now);
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> nextJoin(const Configuration& configuration, Timestamp now);
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> nextPromotion(const Configuration& configuration) const;

    const ControlReplicaOptions& options_;
    Consensus& consensus_;
    std::map<HostId, Joiner> joiners_;
    std::map<model::ReplicaId, Timestamp> silentSince_; ///< As this leader sees it.
    std::optional<Timestamp> joinedAt_; ///< A host new to the group; nobody has left for it yet.
};

} // namespace saltvane::control
