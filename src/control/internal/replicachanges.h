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
    /// The replicas without the one that was silent longest, at least for `limit`.
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> withoutSilent(
        const Configuration& configuration, Duration limit, Timestamp now) const;
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> nextChange(Timestamp now) const;
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> nextJoin(
        const Configuration& configuration, Timestamp now) const;
    [[nodiscard]] std::optional<std::vector<ReplicaInfo>> nextPromotion(const Configuration& configuration) const;

    const ControlReplicaOptions& options_;
    Consensus& consensus_;
    std::map<HostId, Joiner> joiners_;
    std::map<model::ReplicaId, Timestamp> silentSince_; ///< As this leader sees it.
};

} // namespace saltvane::control
