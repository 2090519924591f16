/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/configurationhistory.h"

#include "base/timetypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace saltvane::control {

/// A leader's evidence that a quorum still follows it: for each voter, the time at which the leader sent (not received
/// the reply to) the latest round that the voter acknowledged.
class QuorumProof {
public:
    /// Discards all evidence; called at the start of a leader's term.
    void reset();
    [[nodiscard]] uint64_t startRound(Timestamp now);
    void acknowledge(const model::ReplicaId& replica, uint64_t round);
    [[nodiscard]] uint64_t heardRound(const model::ReplicaId& replica) const;
    [[nodiscard]] std::optional<Timestamp> lastContactAt(const model::ReplicaId& replica) const;
    /// The latest time at which a quorum that includes `self` provably still followed this leader.
    [[nodiscard]] std::optional<Timestamp> provenAt(
        const Configuration& configuration, const model::ReplicaId& self, Timestamp now) const;
    /// Discards rounds sent before `time`; acknowledgements of them are ignored.
    void forgetBefore(Timestamp time);

private:
    struct Round {
        uint64_t number = 0;
        Timestamp sentAt;
    };
    struct Acknowledgement {
        uint64_t round = 0;
        Timestamp sentAt;
    };
    std::deque<Round> rounds_;
    std::map<model::ReplicaId, Acknowledgement> acknowledged_;
    uint64_t lastRound_ = 0;
};

} // namespace saltvane::control
