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

/// A replica that is in no configuration it knows as committed. It asks to be let in; and when every control host of
/// the settings has a new disk, the one with the lowest id gathers them and writes the first configuration. One disk
/// that holds anything stops that: an empty deployment starts once only.
class Joining {
public:
    Joining(const ControlReplicaOptions& options, Consensus& consensus);

    void handle(const HostId& from, const model::JoinRequest& request, Timestamp now);
    void tick(Timestamp now);
    /// Other control hosts to ask, beside those of the settings.
    void setHosts(std::vector<HostId> hosts) { otherHosts_ = std::move(hosts); }

private:
    struct Answer {
        model::ReplicaId replica;
        Timestamp at;
    };

    void askAll();
    void ask(const HostId& host, const model::ReplicaId& inviter);
    void startDeployment(Timestamp now);
    [[nodiscard]] HostId coordinator() const;

    const ControlReplicaOptions& options_;
    Consensus& consensus_;
    Timestamp nextAskAt_ {};
    bool hasAsked_ = false;
    std::map<HostId, Answer> answers_;
    std::vector<HostId> otherHosts_;
};

} // namespace saltvane::control
