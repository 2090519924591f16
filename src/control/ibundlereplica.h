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

/// Replica of the state in force (bundle or route plan) on an entry host. Control pushes new states to a relay in each
/// zone, which pushes them to the hosts of its zone; periodic pulls recover lost pushes. The log position of the state
/// never decreases. docs/design/0007-distribution.md
class IBundleReplica {
public:
    virtual ~IBundleReplica() = default;

    /// Handles BundlePush, BundlePart, BundlePull and BundleCurrent.
    virtual void handle(const model::Delivery& delivery, Timestamp now) = 0;
    /// On a control host: the state in force at its replica and the age of the replica's quorum proof.
    struct ControlView {
        LogPosition position;
        BundleVersion version;
        std::string_view content;
        Duration proofAge {};
    };
    /// No value while the replica has no proof.
    virtual void setControlView(const std::optional<ControlView>& view, Timestamp now) = 0;
    /// `sources`: hosts to pull from, in order of preference (relay, control hosts, peers). `receivers`: hosts to push
    /// to (on a control host the relays, on a relay the hosts of its zone).
    virtual void setPeers(std::span<const HostId> sources, std::span<const HostId> receivers, Timestamp now) = 0;
    /// A new link to this source is established; pulls sent over an earlier link will not be answered.
    virtual void onLinkUp(const HostId& source, Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<model::OutgoingMessage> drainOutgoing() = 0;

    struct InForce {
        LogPosition position;
        BundleVersion version;
        std::shared_ptr<const std::string> content; ///< Never null; empty if nothing is in force.
    };
    /// The state in force, if it has changed since the last call.
    [[nodiscard]] virtual std::optional<InForce> popInstalled() = 0;
    /// The host may serve requests: its state was confirmed as current, or came from a peer that was ready before
    /// control became unreachable.
    [[nodiscard]] virtual bool isReady() const = 0;
    /// Time since control last confirmed the state as current. The host is cut off once it reaches cutOffTimeout.
    [[nodiscard]] virtual Duration age(Timestamp now) const = 0;
    [[nodiscard]] virtual bool isCutOff(Timestamp now) const = 0;
    /// Time since the newest answered pull was sent, whatever its source. Everything that the source had sent before
    /// that answer has arrived as well.
    [[nodiscard]] virtual Duration answerAge(Timestamp now) const = 0;
    /// As answerAge, but only for answers with a proof that the source is current, and with the age of that proof
    /// added.
    [[nodiscard]] virtual Duration provenAnswerAge(Timestamp now) const = 0;
    /// A newer state is being transferred to this host.
    [[nodiscard]] virtual bool isFetching() const = 0;
};

struct BundleReplicaOptions {
    HostId self;
    Duration pullInterval = 1s;
    Duration startPullInterval = 100ms;
    /// After this time without an answer, the next pull goes to another source.
    Duration answerTimeout = 1s;
    Duration cutOffTimeout = 3s;
    /// A source with a proof of this age may lack the state in force: it is avoided, and a starting host waits up to
    /// peerStateDelay for a source with a newer proof. Longer than a proof normally takes to reach a source.
    Duration maxProofAge = 3s;
    /// After this time without a confirmation from control, a starting host accepts the state of a peer.
    Duration peerStateDelay = 1s;
    /// Wait for a part of a large state before it is requested from another source: fifteen times its transfer time on
    /// the slowest link.
    Duration partTimeout = 1s;
    bool isSource = true; ///< False: answers no pulls and caches nothing for them.
    model::Counters* counters = nullptr;
};

[[nodiscard]] std::unique_ptr<IBundleReplica> makeBundleReplica(const BundleReplicaOptions& options);

} // namespace saltvane::control
