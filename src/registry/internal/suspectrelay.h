/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/suspectoutbox.h"
#include "membership/suspecttable.h"

#include <cstddef>
#include <span>
#include <unordered_set>
#include <vector>

namespace saltvane::registry {

/// Collects the requests that were in flight when targets failed, as gateways and other registry hosts report them, and
/// selects what to forward. The first failure under a request is not forwarded: if 400 targets failed at once with nine
/// requests each, forwarding all of them would fill the gateways' links of 2.6 Mbit/s for six seconds with information
/// that no gateway needs.
class SuspectRelay {
public:
    SuspectRelay();

    void record(std::span<const model::SuspectRequest> reported, Timestamp now);
    void tick(Timestamp now);

    struct Updates {
        model::SuspectReport verdicts; ///< For all hosts: requests that are blamed.
        model::SuspectReport unconfirmed; ///< For registry hosts, and the gateways to which this host is the nearest.
    };
    [[nodiscard]] Updates drainUpdates(Timestamp now);
    /// All verdicts, for a newly connected host, in reports that fit in a frame.
    [[nodiscard]] std::vector<model::SuspectReport> verdicts(Timestamp now) const;
    /// Requests with consecutive failures that are not blamed yet, to be kept on the disk: the latest ones.
    [[nodiscard]] std::vector<model::SuspectRequest> unconfirmed(Timestamp now) const;
    [[nodiscard]] size_t blamedCount() const { return table_.blamedCount(); }
    /// Increases with each verdict that is reached or voided.
    [[nodiscard]] uint64_t verdictChanges() const { return table_.verdictChanges(); }
    /// Increases with each consecutive failure of a request, and when its failures become void.
    [[nodiscard]] uint64_t unconfirmedChanges() const { return unconfirmedChanges_; }

private:
    static constexpr double ForwardedPerSecond
        = 200; ///< Some from each of 40 gateways, or those of a mass failure over seconds.
    static constexpr double ForwardBurst = 100;

    membership::SuspectTable table_;
    membership::SuspectOutbox outbox_;
    std::unordered_set<model::RequestDigest> forwarded_;
    uint64_t unconfirmedChanges_ = 0;
};

} // namespace saltvane::registry
