/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/controlmessages.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace saltvane::control {

/// A follower's evidence that its state is current: the leader's quorum proof, dated by the follower's own clock. Each
/// request contains the highest round to which the leader had received this follower's reply. The follower knows when
/// it sent that reply and counts the leader's proof age from then, so that a delayed request does not look more recent
/// than it is.
class FollowerProof {
public:
    /// Discards the replies of the previous term: rounds are numbered per leader and term.
    void startTerm();
    void recordReply(uint64_t round, Timestamp now);
    void recordRequest(const model::AppendRequest& request, LogIndex commit);
    /// A proof becomes valid once this replica has everything that was committed when it was made.
    void recordCommit(LogIndex commit);
    /// Takes over a leader's own proof, which stays valid after its term.
    void adopt(Timestamp provenAt);

    [[nodiscard]] std::optional<Timestamp> provenAt() const { return provenAt_; }

private:
    struct Reply {
        uint64_t round = 0;
        Timestamp sentAt;
    };
    /// A proof whose commit index this replica has not reached yet.
    struct Candidate {
        LogIndex commit;
        Timestamp provenAt;
    };
    std::deque<Reply> replies_;
    std::optional<Candidate> candidate_;
    std::optional<Timestamp> provenAt_;
};

} // namespace saltvane::control
