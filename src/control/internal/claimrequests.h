/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "control/internal/consensus.h"
#include "control/internal/controlstate.h"

#include <map>

namespace saltvane::control {

/// Hosts' claims of idempotency keys. A current leader decides them; claims that arrive between two drains share one
/// write and one message. All other replicas answer NoQuorum at once.
class ClaimRequests {
public:
    ClaimRequests(const ControlReplicaOptions& options, Consensus& consensus, const ControlState& state);

    void handle(const model::Delivery& delivery, const model::ClaimRequest& request, Timestamp now);
    void onApplied(const AppliedEntry& applied);
    /// After a loss of leadership, answers all pending claims with NoQuorum, because their outcome is unknown.
    void advance();

private:
    struct Pending {
        LogTerm term;
        HostId host;
        uint64_t claim = 0;
    };

    void reply(const HostId& host, uint64_t claim, const ClaimOutcome& outcome);

    const ControlReplicaOptions& options_;
    Consensus& consensus_;
    const ControlState& state_;
    std::map<LogIndex, Pending> pending_;
};

} // namespace saltvane::control
