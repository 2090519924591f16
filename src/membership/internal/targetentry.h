/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/membershiptypes.h"

#include <optional>
#include <vector>

namespace saltvane::membership {

/// A lease offered in the answer to an announcement; in force once the target echoes it.
struct LeaseGrant {
    uint64_t sequence = 0; ///< Sequence of the answered announcement.
    Timestamp at {};
};

/// The host that a target is being handed over to.
struct Successor {
    HostId host;
    Incarnation incarnation;
    model::Address entryAddress;
    Timestamp startedAt {};
    Timestamp nextSendAt {};
    bool isSendPending = true;
    bool isAcknowledged = false;
    bool isNamed = false; ///< The target has been answered to announce to it.
};

/// The previous owner of a target and its requests still in flight on it.
struct Predecessor {
    HostId host;
    Incarnation incarnation;
    uint32_t stillInFlight = 0;
    uint32_t concurrencyLimit = 0;
    Timestamp nextQueryAt {};
    bool isQueryPending = false;
};

/// One incarnation of a target as this host knows it.
struct TargetEntry {
    Announcement announcement; ///< The newest one.
    Timestamp lastAnnouncedAt {};
    std::vector<LeaseGrant> grants; ///< Oldest first.
    bool isOwned = false;
    Timestamp ownedUntil {};
    bool isTakenOver = false; ///< This host offered a lease after that of another owner had expired.
    uint32_t reportedUse = 0; ///< Busy slots reported by the target at the take-over, or left by a lost predecessor.
    Timestamp reportedUseUntil {};
    uint32_t inFlight = 0;
    uint32_t concurrencyLimit = 0;
    std::optional<Successor> successor;
    std::optional<Predecessor> predecessor;
    HostId queriedBy; ///< The new owner that has queried the requests still in flight here; empty: none.
    Timestamp nextReplyAt {};

    [[nodiscard]] uint32_t foreignInFlight() const { return predecessor ? predecessor->stillInFlight : reportedUse; }
};

} // namespace saltvane::membership
