/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "model/routeplan.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

/// Rollouts, which move a service's requests from the targets of other software versions to those of a new one
/// (docs/design/0019-rollouts.md).
namespace saltvane::model {

/// The software version that a target reports; empty: it reports none.
using TargetVersion = Name<struct TargetVersionTag>;

enum class RolloutPhase : uint8_t {
    Trial, ///< The new version gets a small share of the requests.
    Switching, ///< The new version takes over all requests.
    Completed, ///< The targets of other versions get no requests any more and may be stopped.
    RolledBack ///< The new version gets no requests any more.
};
[[nodiscard]] std::string_view toString(RolloutPhase phase);
[[nodiscard]] constexpr bool isUnderWay(RolloutPhase phase)
{
    return phase == RolloutPhase::Trial || phase == RolloutPhase::Switching;
}

/// A service's latest rollout.
struct RolloutOrder {
    ServiceName service;
    TargetVersion version; ///< The new one.
    RolloutPhase phase = RolloutPhase::Trial;
    /// The time limit of the whole rollout. In a report to a gateway: what is left of it.
    Duration timeLimit {};
    std::vector<TargetVersion> excluded; ///< Versions that get no requests, as a result of this or an earlier rollout.
    auto operator<=>(const RolloutOrder&) const = default;
};

/// Answers of targets to requests.
struct AnswerCounts {
    uint64_t failed = 0;
    /// The others by their processing time, in buckets that each span a factor of the square root of 2.
    std::vector<uint32_t> byTime;

    static constexpr size_t TimeBuckets = 24; ///< From 5 ms to 14 s; the first and the last also hold what is beyond.
    [[nodiscard]] static size_t bucketOf(Duration time);
    void add(Duration time);
    [[nodiscard]] uint64_t total() const;
    auto operator<=>(const AnswerCounts&) const = default;
};

/// Answers to one route's requests during a rollout.
struct RolloutRouteCounts {
    RouteName route;
    AnswerCounts others; ///< Of targets of other versions.
    AnswerCounts trial; ///< Of targets of the new version.
    auto operator<=>(const RolloutRouteCounts&) const = default;
};

/// Sent by a gateway to a control host while a rollout is under way, and forwarded to the leader. Counts include all
/// since the gateway learnt of the rollout.
struct RolloutReport {
    HostId gateway;
    Incarnation incarnation; ///< Of the gateway.
    ServiceName service;
    TargetVersion version;
    bool isSwitched = false; ///< The gateway sends no new requests to targets of other versions.
    uint32_t otherInFlight = 0; ///< Its requests in flight at those targets.
    uint32_t trialSlots = 0; ///< Usable slots of the new version's targets.
    uint32_t otherSlots = 0;
    std::vector<TargetVersion> otherVersions;
    std::vector<RolloutRouteCounts> routes;
};

} // namespace saltvane::model
