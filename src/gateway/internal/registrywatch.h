/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/ibundlereplica.h"

#include <functional>
#include <optional>
#include <string_view>

namespace saltvane::gateway {

/// How current the registry's information is that this gateway has.
enum class RegistryFreshness {
    /// Everything that was acknowledged more than a limit ago is known here.
    Current,
    /// The registry is reachable, but its messages arrive late or were not read yet: no requests may be sent by them.
    Late,
    /// Nothing is received from the registry: the last known state is used.
    CutOff
};
[[nodiscard]] std::string_view toString(RegistryFreshness freshness);

/// Determines how current the registry's information is from its answers: links preserve the order of messages, so
/// everything that was sent before an answer has been received with it. This way leaving targets get no more requests
/// and plans are in force within the operator's limits, even at gateways whose process was stalled or whose links are
/// congested.
class RegistryWatch {
public:
    struct Limits {
        Duration leave; ///< From the acknowledgement that a target is leaving until it must not get new requests.
        Duration plan; ///< From a plan's acknowledgement until it has to be in force.
    };
    explicit RegistryWatch(const Limits& limits);

    /// Has to be called for each event and tick, before anything else.
    void onActivity(Timestamp now);
    /// A message arrived from a registry host.
    void onMessage(Timestamp now) { lastMessageAt_ = now; }
    /// A newer plan was received and is being installed. `provenAt`: when the one in force was last proven to be the
    /// newest; no value: none is being installed.
    void setReplacedPlan(std::optional<Timestamp> provenAt) { replacedPlanProvenAt_ = provenAt; }
    [[nodiscard]] RegistryFreshness freshness(const control::IBundleReplica& replica, Timestamp now) const;
    /// Whether the state of zones and targets is as new as the registry's. If not, a zone may have been evacuated and
    /// reopened since, with targets that are in their slow start now. `isEachQuorumHeard`: each quorum of the
    /// registry hosts contains one that is heard, so that one of these stored each acknowledged order, even if none has
    /// a proof.
    [[nodiscard]] static bool isConfirmed(
        const control::IBundleReplica& replica, const std::function<bool()>& isEachQuorumHeard, Timestamp now);

private:
    Duration maxAnswerAge_;
    Duration maxReplacedPlanAge_;
    Timestamp lastActivityAt_ {};
    Timestamp runningSince_ {};
    Timestamp lastMessageAt_ {};
    std::optional<Timestamp> replacedPlanProvenAt_;
};

} // namespace saltvane::gateway
