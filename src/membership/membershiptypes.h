/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "model/hostmessages.h"
#include "model/message.h"

#include <optional>
#include <string>
#include <vector>

namespace saltvane::membership {

/// Identity of this host, from its settings and its start.
struct HostIdentity {
    HostId host;
    Incarnation incarnation;
    ZoneName zone;
    RegionName region;
    model::Address linkAddress;
    model::Address entryAddress;
    bool isControl = false;
};

enum class HostHealth {
    Alive,
    Suspected, ///< Heartbeats are late or the link is down: gets no new work.
    Dead
};

/// The record of a host and its health.
struct HostView {
    model::HostRecord record;
    HostHealth health = HostHealth::Alive;
    Duration age {}; ///< Since its last heartbeat.
};

/// State that a target announces (docs/TARGETS.md).
enum class TargetState { Ready, Leaving };

/// A validated announcement of a target.
struct Announcement {
    TargetId target;
    Incarnation incarnation;
    uint64_t sequence = 0;
    ServiceName service;
    ZoneName zone;
    model::Address address;
    uint32_t slots = 0;
    uint32_t connections = 0;
    TargetState state = TargetState::Ready;
    uint32_t busySlots = 0; ///< As reported by the target.
    /// The lease that the target last received, echoed to whichever host it announces to; successive owners rely on it.
    HostId leaseOwner;
    Incarnation leaseOwnerIncarnation;
    Duration leaseAge {}; ///< Time since the target received the answer with the lease, by its own clock.
    uint64_t leaseSequence = 0; ///< Sequence of the announcement whose answer granted the lease; 0 without one.
};

/// Answer to an announcement. If `owner` is set, the target replaces its stored lease by the owner, its incarnation,
/// the sequence of the answered announcement and the time of receipt. If `owner` is empty, it keeps the stored lease. A
/// target sends one announcement at a time and ignores an answer that arrives after it has sent the next one.
struct AnnouncementAnswer {
    bool isOwner = false; ///< This host owns the target now. False with `owner` set: an offer, in force once echoed.
    HostId owner; ///< Owner of the lease to echo from now on; empty: no change.
    Incarnation ownerIncarnation;
    Duration lease {}; ///< Zero if `owner` is empty.
    Duration announceAfter {}; ///< Delay until the next announcement.
    HostId announceTo; ///< Host to announce to next; empty: this host again.
    model::Address announceToAddress;
};

/// Change of a target's ownership at this host.
struct TargetChange {
    enum class Kind {
        Owned, ///< Newly owned, or its announcement changed.
        Lost ///< Lease expired, handed over or target replaced: no new work.
    };
    Kind kind = Kind::Owned;
    Announcement announcement;
    uint32_t foreignInFlight = 0;
    uint32_t concurrencyLimit = 0; ///< From a hand-over; 0 starts cold.
};

} // namespace saltvane::membership
