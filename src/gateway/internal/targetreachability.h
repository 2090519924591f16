/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/gatewaytarget.h"

#include <boost/container/static_vector.hpp>

#include <cstdint>
#include <optional>

namespace saltvane::gateway {

/// Determines whether this gateway reaches targets at all. If targets that the registry lists as alive fail in a row,
/// in several zones, and none answers meanwhile, the fault is on this gateway's side. An answer on a connection from
/// before does not show that new connections work, so after failed attempts to connect only an answer on a new one
/// counts.
class TargetReachability {
public:
    enum class Failure : uint8_t {
        Connect, ///< An attempt to connect failed.
        Response ///< A request was sent, and its connection broke or nothing was answered in time.
    };
    /// `startedAt`: when the request was dispatched. Returns true if this failure shows that no target is reachable.
    bool recordFailure(const GatewayTarget& target, Failure failure, Timestamp startedAt, Timestamp now);
    /// A target answered something. Returns true if targets are reachable again.
    bool recordAnswer(bool isNewConnection, Timestamp now);

    /// Forgets all failures.
    void reset();
    [[nodiscard]] bool isReachable() const { return !unreachableSince_; }
    /// Since when no target is reachable, if so.
    [[nodiscard]] std::optional<Timestamp> unreachableSince() const { return unreachableSince_; }
    [[nodiscard]] size_t failedTargets() const { return failures_.size(); }
    [[nodiscard]] Timestamp connectedAt() const { return connectedAt_; }
    /// Since the last answer on a new connection.
    [[nodiscard]] Duration timeSinceConnection(Timestamp now) const { return now - connectedAt_; }

    /// Failed targets that show it if they are in at least two zones.
    static constexpr size_t MinTargets = 3;
    /// The same, where all of them are in one zone.
    static constexpr size_t MinTargetsOfOneZone = 6;
    /// Failures further apart are considered unrelated.
    static constexpr Duration MaxFailureAge = 5s;

private:
    struct FailedTarget {
        model::TargetIncarnation target;
        ZoneName zone;
        Failure failure = Failure::Connect;
        Timestamp failedAt;
    };

    [[nodiscard]] bool isSufficient() const;

    boost::container::static_vector<FailedTarget, MinTargetsOfOneZone> failures_; ///< Since the last answer.
    Timestamp answeredAt_ {};
    Timestamp connectedAt_ {};
    std::optional<Timestamp> unreachableSince_;
};

} // namespace saltvane::gateway
