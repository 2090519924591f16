/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/controltypes.h"
#include "membership/ihosttable.h"
#include "model/counters.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace saltvane::control {

/// What an entry host has in force, and how it gets newer ones: control -> relay of each zone -> its hosts, with a
/// pull that repairs loss. Positions only grow. docs/design/0007-distribution.md
class IBundleHolder {
public:
    virtual ~IBundleHolder() = default;

    /// BundlePush, BundlePart, BundlePull, BundleCurrent.
    virtual void handle(const model::Delivery& delivery, Timestamp now) = 0;
    /// On a control host: what its replica has in force, and the age of its proof; no value while it has no proof.
    struct ControlView {
        LogPosition position;
        BundleVersion version;
        std::string_view content;
        Duration proofAge {};
    };
    virtual void setControlView(const std::optional<ControlView>& view, Timestamp now) = 0;
    /// Whom to pull from, best first (relay, control hosts, peers), whom to push to (relays, or zone hosts of a relay).
    virtual void setPeers(std::span<const HostId> sources, std::span<const HostId> receivers, Timestamp now) = 0;
    /// A new link stands with this source: what was asked before on an older one gets no answer any more.
    virtual void noteLinkUp(const HostId& source, Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<model::Outgoing> takeOutgoing() = 0;

    struct InForce {
        LogPosition position;
        BundleVersion version;
        std::shared_ptr<const std::string> content; ///< Never null; empty where nothing is in force.
    };
    /// Newly in force since the last call, if any.
    [[nodiscard]] virtual std::optional<InForce> takeInstalled() = 0;
    /// May serve: holds a state that was proven current, or had from a peer that was up since before the cut.
    [[nodiscard]] virtual bool isReady() const = 0;
    /// Since control last confirmed the state as current; the host is cut off when it grows.
    [[nodiscard]] virtual Duration age(Timestamp now) const = 0;
    [[nodiscard]] virtual bool isCutOff(Timestamp now) const = 0;
    /// Since the newest pull that any source has answered was sent: what that source had said before has come as well.
    [[nodiscard]] virtual Duration answerAge(Timestamp now) const = 0;
    /// The same of sources with a proof that they miss nothing, and with the age of that proof.
    [[nodiscard]] virtual Duration provenAnswerAge(Timestamp now) const = 0;
    /// A newer state is known to be in force and on its way here.
    [[nodiscard]] virtual bool isFetching() const = 0;
};

struct BundleHolderOptions {
    HostId self;
    Duration pullPeriod = 1s;
    Duration startPullPeriod = 100ms;
    /// A pull without an answer for so long is followed by one of another source.
    Duration unansweredAfter = 1s;
    Duration cutOffAfter = 3s;
    /// A source whose own proof is that old may miss what is in force: it is passed over, and a starting host waits for
    /// another's word as long as peerStateAfter. Over what a proof takes to reach a source in its usual course.
    Duration staleAfter = 3s;
    Duration peerStateAfter = 1s; ///< A starting host that heard no control for so long takes a peer's state.
    /// Until the next part of a large state is asked of another source: fifteen times what the narrowest link takes.
    Duration partTimeout = 1s;
    bool isSource = true; ///< False: answers no pulls, and keeps nothing for them.
    model::Counters* counters = nullptr;
};

[[nodiscard]] std::unique_ptr<IBundleHolder> makeBundleHolder(const BundleHolderOptions& options);

} // namespace saltvane::control
