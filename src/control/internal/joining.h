/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "control/internal/consensus.h"

#include <map>

namespace saltvane::control {

/// Joining of a replica that is in no configuration it knows to be committed, or that has had no leader for a while and
/// may have been removed meanwhile: it sends join requests, which the leader ignores if the replica is a member. If
/// every control host of the settings has a new disk, the one with the lowest id collects their replica ids and writes
/// the initial configuration. A single disk with data prevents this, so that a deployment is bootstrapped only once.
class Joining {
public:
    Joining(const ControlReplicaOptions& options, Consensus& consensus);

    void handle(const HostId& from, const model::JoinRequest& request, Timestamp now);
    void tick(Timestamp now);
    /// Control hosts to send join requests to, in addition to those of the settings.
    void setHosts(std::vector<HostId> hosts) { otherHosts_ = std::move(hosts); }

private:
    struct Answer {
        model::ReplicaId replica;
        Timestamp at;
    };

    [[nodiscard]] bool isKnownMember(Timestamp now) const;
    void sendJoinRequests();
    void sendJoinRequest(const HostId& host, const model::ReplicaId& inviter);
    void startDeployment(Timestamp now);
    [[nodiscard]] HostId coordinator() const;

    const ControlReplicaOptions& options_;
    Consensus& consensus_;
    Timestamp nextRequestAt_ {};
    bool hasRequested_ = false;
    std::map<HostId, Answer> answers_;
    std::vector<HostId> otherHosts_;
};

} // namespace saltvane::control
